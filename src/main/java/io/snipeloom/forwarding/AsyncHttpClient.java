package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Makes whole HTTP calls to one peer with a time limit each.
 *
 * <p>A connection on which a call ran out of time is closed, since it may be silent for good.
 * Belongs to its event loop.
 */
public final class AsyncHttpClient {
  private final EventLoop loop;
  private final String host;
  private final ConnectionPool pool;

  /** Takes the outcome of a call. */
  public interface Listener {

    /**
     * The peer answered.
     *
     * @param status the status
     * @param body the body, released after the call
     */
    void onAnswer(int status, ByteBuf body);

    /**
     * The peer did not answer.
     *
     * @param sent whether the call may have reached the peer
     */
    void onFailed(boolean sent);
  }

  /**
   * Creates a caller.
   *
   * @param loop the event loop
   * @param address the peer
   */
  public AsyncHttpClient(EventLoop loop, InetSocketAddress address) {
    this.loop = loop;
    this.host = address.getHostString() + ":" + address.getPort();
    this.pool = new ConnectionPool(loop, address, connection -> OptionalLong.empty());
  }

  /**
   * Makes a call.
   *
   * @param method the method
   * @param uri the path and query
   * @param body the body, released here
   * @param timeoutMillis the time limit, in milliseconds
   * @param listener takes the outcome
   */
  public void call(
      HttpMethod method, String uri, ByteBuf body, long timeoutMillis, Listener listener) {
    Call call = new Call(listener);
    call.timeout = loop.schedule(call::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
    pool.acquire(
        connection -> {
          if (call.done) {
            body.release();
            connection.abandon();
            return;
          }
          call.connection = connection;
          HttpHeaders headers = new DefaultHttpHeaders();
          headers.set(HttpHeaderNames.HOST, host);
          headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
          connection.send(method, uri, headers, body, call);
        },
        reason -> {
          body.release();
          call.onBroken(reason);
        });
  }

  private static final class Call implements AnswerListener {
    private final Listener listener;
    private final ByteBuf body = Unpooled.buffer();
    private ScheduledFuture<?> timeout;
    private ClientConnection connection;
    private int status;
    private boolean done;

    Call(Listener listener) {
      this.listener = listener;
    }

    @Override
    public boolean onHead(HttpResponse head) {
      status = head.status().code();
      return true;
    }

    @Override
    public void onContent(ByteBuf content) {
      body.writeBytes(content);
    }

    @Override
    public void onEnd() {
      if (finish()) {
        listener.onAnswer(status, body);
      }
    }

    @Override
    public void onBroken(String reason) {
      if (finish()) {
        listener.onFailed(connection != null);
      }
    }

    void onTimeout() {
      if (finish()) {
        if (connection != null) {
          connection.abandon();
        }
        listener.onFailed(connection != null);
      }
    }

    private boolean finish() {
      boolean first = !done;
      done = true;
      timeout.cancel(false);
      return first;
    }
  }
}

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
 * Sends HTTP requests to one peer, each with a timeout, and collects the complete responses.
 *
 * <p>The timeout grows with the bytes that arrive, so that a long response over a slow link is
 * received, while one that stalls or arrives a few bytes at a time is not waited for. The
 * connection of a request that timed out is closed, because the peer may never respond on it.
 * Confined to the event loop thread.
 */
public final class AsyncHttpClient {
  /** The longest body; a peer that sends more does not send a response. */
  private static final int MAX_BODY_BYTES = 16_777_216;

  /** The slowest transfer of a response that is waited for; a slower one times out. */
  private static final long MIN_BYTES_PER_MILLI = 32;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final EventLoop loop;
  private final String host;
  private final ConnectionPool pool;

  /** Receives the outcome of a request. */
  public interface Listener {

    /**
     * Called when the peer responded.
     *
     * @param status the HTTP status code
     * @param headers the response headers
     * @param body the response body, which must not be used after this call
     */
    void onResponse(int status, HttpHeaders headers, ByteBuf body);

    /**
     * Called when the request failed or timed out before the response was complete.
     *
     * @param sent whether the request may have reached the peer
     */
    void onFailed(boolean sent);
  }

  /**
   * Creates a client.
   *
   * @param loop the event loop that all connections use
   * @param address the address of the peer
   */
  public AsyncHttpClient(EventLoop loop, InetSocketAddress address) {
    this.loop = loop;
    this.host = address.getHostString() + ":" + address.getPort();
    this.pool = new ConnectionPool(loop, address, connection -> OptionalLong.empty());
  }

  /**
   * Sends a request.
   *
   * @param method the HTTP method
   * @param uri the path and query
   * @param body the request body, which this method releases
   * @param timeoutMillis the time until the request fails, connecting included, in milliseconds;
   *     also the longest pause within a response
   * @param listener receives the outcome, once
   */
  public void call(
      HttpMethod method, String uri, ByteBuf body, long timeoutMillis, Listener listener) {
    Call call = new Call(loop, timeoutMillis, listener);
    call.scheduleTimeout(timeoutMillis * NANOS_PER_MILLI);
    pool.acquire(
        connection -> {
          if (call.done) {
            body.release();
            connection.close();
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
          call.onFailure(reason);
        });
  }

  private static final class Call implements ResponseListener {
    private final EventLoop loop;
    private final long timeoutMillis;
    private final Listener listener;
    private final ByteBuf body = Unpooled.buffer();
    private final long startNanos = System.nanoTime();
    private long lastBytesNanos = startNanos;
    private ScheduledFuture<?> timeout;
    private ClientConnection connection;
    private int status;
    private HttpHeaders headers;
    private boolean done;

    Call(EventLoop loop, long timeoutMillis, Listener listener) {
      this.loop = loop;
      this.timeoutMillis = timeoutMillis;
      this.listener = listener;
    }

    void scheduleTimeout(long delayNanos) {
      timeout = loop.schedule(this::checkTimeout, delayNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public boolean onHead(HttpResponse head) {
      status = head.status().code();
      headers = head.headers();
      return true;
    }

    @Override
    public void onContent(ByteBuf content) {
      if (body.readableBytes() + content.readableBytes() > MAX_BODY_BYTES) {
        connection.close();
        onFailure("response body is too long");
      } else {
        body.writeBytes(content);
        lastBytesNanos = System.nanoTime();
      }
    }

    @Override
    public void onEnd() {
      if (finish()) {
        listener.onResponse(status, headers, body);
      }
    }

    @Override
    public void onFailure(String reason) {
      if (finish()) {
        listener.onFailed(connection != null);
      }
    }

    private void checkTimeout() {
      long remainingNanos = deadlineNanos() - System.nanoTime();
      if (done) {
        return;
      }
      if (remainingNanos > 0) {
        scheduleTimeout(remainingNanos);
      } else {
        onTimeout();
      }
    }

    /** Returns when the call fails unless more bytes arrive before. */
    private long deadlineNanos() {
      long allowedMillis = timeoutMillis + body.readableBytes() / MIN_BYTES_PER_MILLI;
      long slowest = startNanos + allowedMillis * NANOS_PER_MILLI;
      long stalled = lastBytesNanos + timeoutMillis * NANOS_PER_MILLI;
      return slowest - stalled < 0 ? slowest : stalled;
    }

    private void onTimeout() {
      if (finish()) {
        if (connection != null) {
          connection.close();
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

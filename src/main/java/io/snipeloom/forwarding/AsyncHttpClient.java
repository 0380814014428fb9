package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends HTTP requests to one peer, each with a timeout, and collects the complete responses.
 *
 * <p>The timeout grows with the bytes that arrive, so that a long response over a slow link is
 * received, while one that stalls or arrives a few bytes at a time is not waited for. The
 * connection of a request that timed out is closed, because the peer may never respond on it. A
 * request that may be repeated is sent again on a new connection when its response is overdue, so
 * that a dead connection is told from a peer that is away.
 *
 * <p>HTTP names no request in a response, and a peer may send one twice. Requests are therefore
 * kept apart by lanes, which share no connections, and their listeners judge what comes. A
 * connection on which a response belongs to another request is closed. Confined to the event loop
 * thread.
 */
public final class AsyncHttpClient {
  /** The longest body; a peer that sends more does not send a response. */
  private static final int MAX_BODY_BYTES = 16_777_216;

  /** The slowest transfer of a response that is waited for; a slower one times out. */
  private static final long MIN_BYTES_PER_MILLI = 32;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The lane of requests whose connections carry no others. */
  private static final String NEW_CONNECTIONS = "";

  private final EventLoop loop;
  private final String host;
  private final InetSocketAddress address;
  private final ChannelHandler meter;
  private final Map<String, ConnectionPool> lanes = new HashMap<>();
  private final Runnable onDeadConnection;

  /**
   * A complete response.
   *
   * @param status the HTTP status code
   * @param headers the response headers
   * @param body the response body, which must not be used after the call that passes it
   * @param first whether it is the first one on its connection, so that it belongs to the request
   */
  public record Response(int status, HttpHeaders headers, ByteBuf body, boolean first) {}

  /** What a response is to the request that awaits one. */
  public enum Verdict {
    /** The response belongs to the request; the connection may carry the next one. */
    ANSWER,
    /** The response belongs to the request; a copy of it could not be told from a later one. */
    LAST_ANSWER,
    /** The response belongs to another request, and nothing is known of that of this one. */
    FOREIGN
  }

  /** Judges the responses to a request and receives its outcome. */
  public interface Listener {

    /** Returns what a response is to the request, before it is passed on. */
    Verdict judge(Response response);

    /** Called when the peer responded. */
    void onResponse(Response response);

    /**
     * Called when the response to a try of a request is overdue; the outcome follows.
     *
     * @param tries the number of tries so far, of which all but the first use new connections
     */
    default void onOverdue(int tries) {}

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
   * @param meter counts the bytes of the connections
   * @param onDeadConnection called when a request got no response on one connection and one on a
   *     new connection
   */
  public AsyncHttpClient(
      EventLoop loop, InetSocketAddress address, ChannelHandler meter, Runnable onDeadConnection) {
    this.loop = loop;
    this.onDeadConnection = onDeadConnection;
    this.host = address.getHostString() + ":" + address.getPort();
    this.address = address;
    this.meter = meter;
  }

  /**
   * Sends a request.
   *
   * @param lane names the requests that share connections with this one
   * @param method the HTTP method
   * @param uri the path and query
   * @param body the request body, which this method releases
   * @param timeoutMillis the time until the request fails, connecting included, in milliseconds;
   *     also the longest pause within a response
   * @param listener receives the outcome, once
   */
  public void call(
      String lane,
      HttpMethod method,
      String uri,
      ByteBuf body,
      long timeoutMillis,
      Listener listener) {
    start(lane, new Call(timeoutMillis, listener), method, uri, body, false);
  }

  /**
   * Sends a GET request that may be repeated. While its response is overdue, because it has not
   * begun or has stopped, or is that of another request, others are sent on new connections, and
   * the first response counts.
   *
   * @param lane names the requests that share connections with this one
   * @param uri the path and query
   * @param repeatUri the path and query of the other requests, which the peer answers at once
   * @param policy when the request is repeated, and when it fails
   * @param listener receives the outcome, once
   */
  public void callRepeatable(
      String lane, String uri, String repeatUri, RepeatPolicy policy, Listener listener) {
    new Repetition(lane, repeatUri, policy, listener).start(uri, false);
  }

  /**
   * Sends a GET request that may be repeated, as {@link #callRepeatable} does, on a connection that
   * has carried none before.
   *
   * @param uri the path and query
   * @param policy when the request is repeated, and when it fails
   * @param listener receives the outcome, once
   */
  public void callOnNewConnection(String uri, RepeatPolicy policy, Listener listener) {
    new Repetition(NEW_CONNECTIONS, uri, policy, listener).start(uri, true);
  }

  private ConnectionPool pool(String lane) {
    return lanes.computeIfAbsent(
        lane,
        name ->
            new ConnectionPool(
                loop,
                address,
                meter,
                connection -> OptionalLong.empty(),
                (connection, moment) -> {}));
  }

  private void start(
      String lane, Call call, HttpMethod method, String uri, ByteBuf body, boolean onNew) {
    call.scheduleTimeout(call.timeoutMillis * NANOS_PER_MILLI);
    Consumer<ClientConnection> onConnection =
        connection -> send(call, connection, method, uri, body);
    Consumer<String> onFailure =
        reason -> {
          body.release();
          call.onFailure(reason);
        };
    if (onNew) {
      pool(lane).acquireNew(onConnection, onFailure);
    } else {
      pool(lane).acquire("", onConnection, onFailure);
    }
  }

  private void send(
      Call call, ClientConnection connection, HttpMethod method, String uri, ByteBuf body) {
    if (call.done) {
      body.release();
      connection.close();
      return;
    }
    call.connection = connection;
    call.first = connection.requests() == 0;
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.HOST, host);
    headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    connection.send(method, uri, headers, body, call);
  }

  /** A request that is sent again on new connections while its response is overdue. */
  private final class Repetition {
    private final String lane;
    private final String repeatUri;
    private final RepeatPolicy policy;
    private final Listener listener;
    private final RepeatedCall outcome;
    private final List<Call> tries = new ArrayList<>();

    Repetition(String lane, String repeatUri, RepeatPolicy policy, Listener listener) {
      this.lane = lane;
      this.repeatUri = repeatUri;
      this.policy = policy;
      this.listener = listener;
      this.outcome = new RepeatedCall(policy.tries());
    }

    void start(String uri, boolean onNew) {
      int number = outcome.tries();
      Call call = new Call(policy.remainingMillis(number), new Try(number));
      tries.add(call);
      AsyncHttpClient.this.start(lane, call, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER, onNew);
      call.scheduleOverdue(policy.limits(number), () -> onOverdueTry(number));
    }

    private void onOverdueTry(int number) {
      if (outcome.isDone()) {
        return;
      }
      listener.onOverdue(number);
      if (number == outcome.tries()) {
        repeat();
      }
    }

    private void repeat() {
      if (outcome.onOverdue()) {
        start(repeatUri, true);
      }
    }

    /** Closes the connections on which no response came, and those that may be as dead. */
    private void replaceDead(int answered) {
      List<Call> silent = tries.subList(0, answered - 1);
      if (silent.stream().anyMatch(Call::isSilent)) {
        lanes.values().forEach(ConnectionPool::closeIdle);
        onDeadConnection.run();
      }
      silent.forEach(Call::cancel);
    }

    /** Passes on the outcome of one try. */
    private final class Try implements Listener {
      private final int number;

      Try(int number) {
        this.number = number;
      }

      @Override
      public Verdict judge(Response response) {
        Verdict verdict = listener.judge(response);
        if (verdict == Verdict.FOREIGN) {
          repeat();
        }
        return verdict;
      }

      @Override
      public void onResponse(Response response) {
        if (outcome.onResponse()) {
          replaceDead(number);
          listener.onResponse(response);
        }
      }

      @Override
      public void onFailed(boolean sent) {
        if (outcome.onFailed(sent)) {
          listener.onFailed(outcome.isSent());
        } else if (!outcome.isDone()) {
          // A new connection that cannot be opened is no reason to give up the others.
          var unused =
              loop.schedule(
                  () -> onOverdueTry(number), policy.repeatMillis(), TimeUnit.MILLISECONDS);
        }
      }
    }
  }

  private final class Call implements ResponseListener {
    private final long timeoutMillis;
    private final Listener listener;
    private final ByteBuf body = Unpooled.buffer();
    private final long startNanos = System.nanoTime();
    private long lastBytesNanos = startNanos;
    private ScheduledFuture<?> timeout;
    private ScheduledFuture<?> overdue;
    private SilenceLimits silenceLimits;
    private Runnable onOverdue = () -> {};
    private ClientConnection connection;
    private int status;
    private HttpHeaders headers;
    private boolean first;
    private boolean done;

    Call(long timeoutMillis, Listener listener) {
      this.timeoutMillis = timeoutMillis;
      this.listener = listener;
    }

    void scheduleTimeout(long delayNanos) {
      timeout = loop.schedule(this::checkTimeout, delayNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Schedules a task for when the response is overdue. It runs before the call times out in any
     * case, so that a call whose bytes came late is not given up before it is made again.
     */
    void scheduleOverdue(SilenceLimits limits, Runnable task) {
      if (!done) {
        silenceLimits = limits;
        onOverdue = task;
        overdue = loop.schedule(this::checkOverdue, limits.firstNanos(), TimeUnit.NANOSECONDS);
      }
    }

    private void checkOverdue() {
      readArrived();
      if (done) {
        return;
      }
      long remainingNanos =
          silenceLimits.remainingNanos(status != 0, startNanos, lastBytesNanos, System.nanoTime());
      if (remainingNanos > 0) {
        overdue = loop.schedule(this::checkOverdue, remainingNanos, TimeUnit.NANOSECONDS);
      } else {
        onOverdue.run();
      }
    }

    /** Reads what has arrived and the event loop has not come to read yet. */
    void readArrived() {
      if (connection != null && !done) {
        connection.readArrived();
      }
    }

    /** Returns whether the call is open though it was overdue: its connection brings nothing. */
    boolean isSilent() {
      return !done;
    }

    /** Closes the connection; the listener is not called any more. */
    void cancel() {
      if (finish() && connection != null) {
        connection.close();
      }
    }

    @Override
    public boolean onHead(HttpResponse head) {
      status = head.status().code();
      headers = head.headers();
      lastBytesNanos = System.nanoTime();
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
      if (!finish()) {
        return;
      }
      Response response = new Response(status, headers, body, first);
      Verdict verdict = listener.judge(response);
      if (verdict != Verdict.ANSWER) {
        connection.close();
      }
      if (verdict == Verdict.FOREIGN) {
        listener.onFailed(true);
      } else {
        listener.onResponse(response);
      }
    }

    @Override
    public void onFailure(String reason) {
      if (finish()) {
        listener.onFailed(connection != null);
      }
    }

    private void checkTimeout() {
      readArrived();
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
      onOverdue.run();
      if (finish()) {
        if (connection != null) {
          connection.close();
        }
        listener.onFailed(connection != null);
      }
    }

    private boolean finish() {
      final boolean first = !done;
      done = true;
      timeout.cancel(false);
      if (overdue != null) {
        overdue.cancel(false);
      }
      return first;
    }
  }
}

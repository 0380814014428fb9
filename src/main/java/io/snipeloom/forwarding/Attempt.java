package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import io.snipeloom.routing.ForwardMetadata;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.routing.ResponseMetadata;
import java.util.concurrent.TimeUnit;

/**
 * One send of a request to one replica: connects, sends, watches for silence and judges the answer.
 *
 * <p>Keeps the account of the replica's load and health, and leaves what follows to its owner.
 * Belongs to its event loop.
 */
final class Attempt implements AnswerListener {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final EventLoop loop;
  private final Fleet fleet;
  private final CallerRequest request;
  private final String id;
  private final ReplicaView view;
  private final long unreadTokens;
  private final ExchangeLog log;
  private final Owner owner;
  private ClientConnection connection;
  private ScheduledFuture<?> silence;
  private boolean sent;
  private boolean prefillDone;
  private boolean over;
  private boolean stream;
  private long lastHeardNanos;
  private int status;
  private HttpHeaders answerHeaders = new DefaultHttpHeaders();
  private AttemptFailure failureAnswer;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;

  /** The exchange that an attempt belongs to. */
  interface Owner {

    /** Returns whether the caller still waits for an answer. */
    boolean isWanted();

    /** Returns what the system adds to the request for a replica. */
    ForwardMetadata forwardTerms(ReplicaView view);

    /** The request is on its way. */
    void onSent(Attempt attempt);

    /** Returns how long the replica may be silent, in milliseconds; 0 for any time. */
    long silenceMillis();

    /** Returns whether another replica may get the request after a silence. */
    boolean mayLeaveSilentReplica();

    /** Bytes of a stream arrived; the owner does not keep the buffer. */
    void onStream(Attempt attempt, ByteBuf content);

    /** The stream is complete. */
    void onStreamEnd(Attempt attempt);

    /** The whole answer arrived, which is the replica's final word. */
    void onWhole(Attempt attempt);

    /** The attempt failed; nothing follows. */
    void onFailed(Attempt attempt, AttemptFailure failure, String reason);
  }

  Attempt(
      EventLoop loop,
      Fleet fleet,
      CallerRequest request,
      String id,
      ReplicaView view,
      long unreadTokens,
      ExchangeLog log,
      Owner owner) {
    this.loop = loop;
    this.fleet = fleet;
    this.request = request;
    this.id = id;
    this.view = view;
    this.unreadTokens = unreadTokens;
    this.log = log;
    this.owner = owner;
  }

  ReplicaView view() {
    return view;
  }

  /** Returns whether the replica may have got the request. */
  boolean isSent() {
    return sent;
  }

  long unreadTokens() {
    return unreadTokens;
  }

  int status() {
    return status;
  }

  /** Returns the headers of the answer for the caller. */
  HttpHeaders headersForCaller() {
    return fleet.codec().responseHeaders(answerHeaders);
  }

  /** Returns the whole answer; the taker releases it. */
  ByteBuf body() {
    return body;
  }

  void connect() {
    fleet.poolOf(view.replica()).acquire(this::onConnection, this::onConnectFailed);
  }

  /** Reads on, or pauses until the caller can take more. */
  void readMore(boolean wanted) {
    if (connection != null) {
      connection.readMore(wanted);
    }
  }

  /** Ends the attempt; closing its connection tells the replica to stop. */
  void stop() {
    if (connection != null && !over) {
      connection.abandon();
    }
    end();
  }

  private void onConnection(ClientConnection opened) {
    if (over || !owner.isWanted()) {
      opened.abandon();
      return;
    }
    if (!fleet.directory().isWorking(view.replica())) {
      opened.abandon();
      over = true;
      owner.onFailed(this, AttemptFailure.NOT_CONNECTED, "replica left");
      return;
    }
    connection = opened;
    HttpHeaders headers =
        fleet
            .codec()
            .requestHeaders(
                request.headers(), owner.forwardTerms(view), request.body().readableBytes());
    opened.send(request.method(), request.uri(), headers, request.body().retainedDuplicate(), this);
  }

  private void onConnectFailed(String reason) {
    if (over || !owner.isWanted()) {
      return;
    }
    over = true;
    view.health().onUnreachable(System.nanoTime());
    owner.onFailed(this, AttemptFailure.NOT_CONNECTED, reason);
  }

  @Override
  public void onSent() {
    sent = true;
    lastHeardNanos = System.nanoTime();
    view.load().onSent(unreadTokens);
    owner.onSent(this);
    armSilence(owner.silenceMillis());
  }

  private void armSilence(long limitMillis) {
    if (limitMillis > 0) {
      silence = loop.schedule(() -> checkSilence(limitMillis), limitMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void checkSilence(long limitMillis) {
    if (over) {
      return;
    }
    long quietNanos = System.nanoTime() - lastHeardNanos;
    long leftNanos = limitMillis * NANOS_PER_MILLI - quietNanos;
    if (leftNanos > 0) {
      silence = loop.schedule(() -> checkSilence(limitMillis), leftNanos, TimeUnit.NANOSECONDS);
      return;
    }
    if (!owner.mayLeaveSilentReplica()) {
      return;
    }
    connection.abandon();
    end();
    view.health().onUnreachable(System.nanoTime());
    owner.onFailed(this, AttemptFailure.SILENT, "silent for " + limitMillis + " ms");
  }

  @Override
  public boolean onHead(HttpResponse head) {
    lastHeardNanos = System.nanoTime();
    status = head.status().code();
    answerHeaders = head.headers();
    ResponseMetadata stated = fleet.codec().responseMetadata(status, answerHeaders);
    boolean named = !stated.attemptId().isEmpty();
    if (named ? !stated.attemptId().equals(id) : !stated.notExecuted()) {
      log.foreignAnswer(view.replica().id(), stated.attemptId(), status);
      return false;
    }
    stated.load().ifPresent(l -> view.load().onReport(l.running(), l.waiting(), lastHeardNanos));
    failureAnswer = classify(stated);
    String type = answerHeaders.get(HttpHeaderNames.CONTENT_TYPE, "");
    stream = failureAnswer == null && type.startsWith("text/event-stream");
    if (!stream) {
      body = Unpooled.buffer();
    }
    return true;
  }

  private AttemptFailure classify(ResponseMetadata stated) {
    if (stated.notExecuted()) {
      return AttemptFailure.NOT_EXECUTED;
    }
    boolean promise = status == 429 || status == 503 || status == 408;
    if (!stated.signed() || promise || answerHeaders.contains(HttpHeaderNames.CONTENT_ENCODING)) {
      return AttemptFailure.BROKEN;
    }
    return status >= 500 ? AttemptFailure.ERROR_ANSWER : null;
  }

  @Override
  public void onContent(ByteBuf content) {
    lastHeardNanos = System.nanoTime();
    if (stream) {
      owner.onStream(this, content);
    } else {
      body.writeBytes(content);
    }
  }

  /** Takes note of the first whole event, before which the prompt was read. */
  void onFirstEvent() {
    if (!prefillDone) {
      prefillDone = true;
      view.load().onPrefillDone(unreadTokens);
    }
  }

  @Override
  public void onEnd() {
    if (over) {
      return;
    }
    end();
    if (failureAnswer != null) {
      view.health().onAnswer(failureAnswer == AttemptFailure.NOT_EXECUTED);
      owner.onFailed(this, failureAnswer, "replica answered " + status);
      return;
    }
    view.health().onAnswer(true);
    if (stream) {
      owner.onStreamEnd(this);
    } else {
      owner.onWhole(this);
    }
  }

  @Override
  public void onBroken(String reason) {
    if (over) {
      return;
    }
    end();
    view.health().onBroken();
    owner.onFailed(this, AttemptFailure.BROKEN, reason);
  }

  private void end() {
    if (over) {
      return;
    }
    over = true;
    if (silence != null) {
      silence.cancel(false);
    }
    if (sent) {
      onFirstEvent();
      view.load().onEnded();
    }
  }
}

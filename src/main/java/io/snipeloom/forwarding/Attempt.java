package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import io.snipeloom.buffering.BodyTransfer;
import io.snipeloom.crashes.InFlight;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.routing.ResponseMetadata;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One attempt to have a request served by one replica: connects, sends the request, enforces the
 * silence timeout and classifies the response.
 *
 * <p>Updates the load and the health of the replica; whether to retry is decided by the owner.
 * Confined to the event loop thread.
 */
final class Attempt implements ResponseListener {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The longest body of a response that is not a stream; it is kept until it is complete. */
  private static final int MAX_BODY_BYTES = 4_194_304;

  /** The longest event; it is kept until it is complete. */
  private static final int MAX_EVENT_BYTES = 1_048_576;

  /** How long after its first event a stream shows that its replica survives it. */
  private static final long SURVIVED_NANOS = 300_000_000L;

  /** How long a replica that has begun its answer sends nothing until it may have ended. */
  private static final long SILENT_NANOS = 1_000_000_000L;

  /** How long the connection of an attempt is kept after its deadline, for a late rejection. */
  private static final long LATE_HEAD_MILLIS = 200;

  /** The status of a response that goes on with a stream. */
  private static final int STREAM_STATUS = 200;

  /** The first status of an answer that says that the request was not run to a good end. */
  private static final int FIRST_ERROR_STATUS = 300;

  private final EventLoop loop;
  private final Fleet fleet;
  private final CallerRequest request;
  private final String id;
  private final ReplicaView view;
  private final long uncachedTokens;
  private final ExchangeLog log;
  private final CrashDetector crashDetector;
  private final AttemptOwner owner;
  private ClientConnection connection;
  private AttemptWork work;
  private ScheduledFuture<?> silenceTimer;
  private boolean sent;
  private boolean prefillDone;
  private boolean ended;
  private boolean streaming;
  private boolean survived;
  private long sentNanos;
  private long firstEventNanos;
  private long lastReceivedNanos;
  private int status;
  private ResponseFraming framing = ResponseFraming.NONE;
  private HttpHeaders responseHeaders = new DefaultHttpHeaders();
  private AttemptFailure responseFailure;
  private final ByteParts body = new ByteParts();
  private BodyTransfer transfer;
  private boolean readingStopped;

  Attempt(
      EventLoop loop,
      Fleet fleet,
      CallerRequest request,
      String id,
      ReplicaView view,
      long uncachedTokens,
      ExchangeLog log,
      CrashDetector crashDetector,
      AttemptOwner owner) {
    this.loop = loop;
    this.fleet = fleet;
    this.request = request;
    this.id = id;
    this.view = view;
    this.uncachedTokens = uncachedTokens;
    this.log = log;
    this.crashDetector = crashDetector;
    this.owner = owner;
  }

  ReplicaView view() {
    return view;
  }

  /** Returns the connection that carries the request; there is none before it is sent. */
  ClientConnection connection() {
    return connection;
  }

  /** Returns whether the replica may have received the request. */
  boolean isSent() {
    return sent;
  }

  long uncachedTokens() {
    return uncachedTokens;
  }

  int status() {
    return status;
  }

  /** Returns how the end of the response is marked. */
  ResponseFraming framing() {
    return framing;
  }

  /** Returns the response headers to be sent to the caller. */
  HttpHeaders headersForCaller() {
    return fleet.codec().responseHeaders(responseHeaders);
  }

  /** Returns what the request cost and what was predicted; empty if it has no prompt. */
  Optional<CostOutcome> cost() {
    return work == null ? Optional.empty() : work.outcome();
  }

  /** Returns the complete response body; the receiver takes the bytes out and releases them. */
  ByteParts body() {
    return body;
  }

  void connect() {
    transfer = fleet.buffers().bodies().begin(view.replica().id(), request.body().readableBytes());
    ConnectionPool pool = fleet.connectionPool(view.replica());
    if (request.method().equals(HttpMethod.HEAD)) {
      // A second copy of an earlier response has a body, which could not be told from a response.
      pool.acquireNew(this::onConnection, this::onConnectFailed);
    } else {
      pool.acquire(id, this::onConnection, this::onConnectFailed);
    }
  }

  /**
   * Reads what the replica has sent and the event loop has not come to read yet. The attempt may
   * have ended then. Must not be called while its connection is being read.
   */
  void readArrived() {
    if (sent && !ended) {
      connection.readArrived();
    }
  }

  /** Returns whether the head of the response was received and the response has not ended. */
  boolean isAnswering() {
    return status != 0 && !ended;
  }

  /** Stops reading the response, until it is resumed or the attempt ends. */
  void stopReading() {
    readingStopped = true;
    if (connection != null) {
      connection.setAutoRead(false);
    }
  }

  /** Resumes reading the response. The replica was not silent while nothing was read. */
  void resumeReading() {
    if (readingStopped) {
      readingStopped = false;
      lastReceivedNanos = System.nanoTime();
      connection.setAutoRead(true);
    }
  }

  /** Ends the attempt and closes its connection, which cancels the request at the replica. */
  void stop() {
    if (connection != null && !ended) {
      connection.close();
    }
    end();
  }

  /**
   * Ends the attempt because its time is over. What the replica says of itself when it rejects the
   * request a little later is still read.
   */
  void expire() {
    if (!sent || ended || status != 0) {
      stop();
      return;
    }
    end();
    var unused = loop.schedule(connection::close, LATE_HEAD_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void onConnection(ClientConnection opened) {
    if (ended || !owner.confirmCaller()) {
      fleet.connectionPool(view.replica()).giveBack(opened);
      end();
      return;
    }
    if (!maySend()) {
      opened.close();
      end();
      owner.onFailed(this, AttemptFailure.NOT_CONNECTED, "replica no longer accepts requests");
      return;
    }
    connection = opened;
    HttpHeaders headers =
        fleet
            .codec()
            .requestHeaders(
                request.headers(), owner.forwardMetadata(view), request.body().readableBytes());
    request.buffer().retain();
    opened.send(request.method(), request.uri(), headers, request.body().retainedDuplicate(), this);
  }

  /** Counts the request as sent if the replica may receive it; much may have changed meanwhile. */
  private boolean maySend() {
    long nowNanos = System.nanoTime();
    view.limit().onReached(nowNanos);
    return owner.mayGoTo(view) && fleet.isAvailable(view) && fleet.picker().trySend(view, nowNanos);
  }

  private void onConnectFailed(String reason) {
    if (ended || !owner.isCallerWaiting()) {
      end();
      return;
    }
    end();
    if (!fleet.isOverloaded()) {
      view.health().onUnreachable(System.nanoTime());
    }
    view.limit().warmUp().onOutOfReach(System.nanoTime());
    owner.onFailed(this, AttemptFailure.NOT_CONNECTED, reason);
  }

  @Override
  public String requestId() {
    return id;
  }

  @Override
  public void onSent() {
    sent = true;
    sentNanos = System.nanoTime();
    lastReceivedNanos = sentNanos;
    fleet.crashes().onSent(owner.traits(), sentNanos);
    work = AttemptWork.of(fleet, owner.routed(), view, uncachedTokens, sentNanos);
    view.load().onSent(uncachedTokens);
    owner.onSent(this);
    scheduleSilenceCheck(owner.silenceTimeoutMillis());
  }

  @Override
  public void onRequestReleased() {
    transfer.onWritten();
    request.buffer().release();
  }

  private void scheduleSilenceCheck(long limitMillis) {
    if (limitMillis > 0) {
      silenceTimer =
          loop.schedule(() -> checkSilence(limitMillis), limitMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void checkSilence(long limitMillis) {
    readArrived();
    if (ended) {
      return;
    }
    long silentNanos = silentNanos();
    long remainingNanos = limitMillis * NANOS_PER_MILLI - silentNanos;
    if (remainingNanos > 0) {
      silenceTimer =
          loop.schedule(() -> checkSilence(limitMillis), remainingNanos, TimeUnit.NANOSECONDS);
      return;
    }
    if (!owner.mayRetryAfterSilence()) {
      return;
    }
    expire();
    view.health().onUnreachable(System.nanoTime());
    reportBroken();
    owner.onFailed(this, AttemptFailure.SILENT, "no data for " + limitMillis + " ms");
  }

  @Override
  public boolean onHead(HttpResponse head) {
    lastReceivedNanos = System.nanoTime();
    int headStatus = head.status().code();
    ResponseMetadata metadata = fleet.codec().responseMetadata(headStatus, head.headers());
    ReplicaStatements statements = new ReplicaStatements(view, log, sentNanos, lastReceivedNanos);
    statements.recordWillingness(headStatus, metadata);
    if (ended) {
      connection.close();
      return false;
    }
    if (isAmbiguous(metadata)) {
      log.foreignResponse(view.replica().id(), connection, metadata.attemptIds(), headStatus);
      breakOff("the response does not tell which request it belongs to");
      return false;
    }
    if (!isOwn(metadata)) {
      log.foreignResponse(view.replica().id(), connection, metadata.attemptIds(), headStatus);
      return false;
    }
    status = headStatus;
    framing = ResponseFraming.of(head);
    responseHeaders = head.headers();
    if (metadata.isUnnamed()) {
      // A second copy of this refusal could not be told from one of the next request.
      connection.closeAfterResponse();
      log.unnamedRefusal(view.replica().id(), status);
    }
    statements.recordState(metadata);
    responseFailure = classify(metadata);
    String type = responseHeaders.get(HttpHeaderNames.CONTENT_TYPE, "");
    streaming = responseFailure == null && type.startsWith("text/event-stream");
    if (responseFailure == null && mustGoOnWithStream() && !isStreamAnswer()) {
      streaming = false;
      responseFailure = AttemptFailure.BROKEN;
    }
    return true;
  }

  /** Returns whether a response belongs to this attempt; only a refusal need not name it. */
  private boolean isOwn(ResponseMetadata metadata) {
    return metadata.isUnnamed() ? metadata.notExecuted() : metadata.isOf(id);
  }

  /** Returns whether a response may belong to this attempt and to another one alike. */
  private boolean isAmbiguous(ResponseMetadata metadata) {
    boolean unnamedRefusal = metadata.isUnnamed() && metadata.notExecuted();
    return metadata.isAmbiguous() || (unnamedRefusal && connection.requests() > 1);
  }

  /**
   * Returns whether the caller takes what the replica sends for the rest of its stream. One that
   * resumes its stream itself sees the status of an error.
   */
  private boolean mustGoOnWithStream() {
    boolean resumes = owner.routed().resumesStream() && status < FIRST_ERROR_STATUS;
    return owner.isStreamBegun() || resumes;
  }

  private boolean isStreamAnswer() {
    return streaming && status == STREAM_STATUS;
  }

  private AttemptFailure classify(ResponseMetadata metadata) {
    if (metadata.notExecuted()) {
      return AttemptFailure.NOT_EXECUTED;
    }
    boolean impliesNotExecuted = status == 429 || status == 503 || status == 408;
    if (!metadata.signed()
        || impliesNotExecuted
        || responseHeaders.contains(HttpHeaderNames.CONTENT_ENCODING)) {
      return AttemptFailure.BROKEN;
    }
    return status >= 500 ? AttemptFailure.ERROR_ANSWER : null;
  }

  @Override
  public void onContent(ByteBuf content) {
    lastReceivedNanos = System.nanoTime();
    if (streaming) {
      owner.onStreamContent(this, content);
      if (owner.isStreamOutOfOrder()) {
        breakOff("the events do not go on with the stream");
        return;
      }
      if (owner.pendingEventBytes() > MAX_EVENT_BYTES) {
        breakOff("event is too long");
        return;
      }
      if (prefillDone && lastReceivedNanos - firstEventNanos >= SURVIVED_NANOS) {
        recordSurvived();
      }
    } else if (body.readableBytes() + content.readableBytes() > MAX_BODY_BYTES) {
      breakOff("response body is too long");
    } else if (owner.onBodyContent(this, content.readableBytes())) {
      body.append(content);
    }
  }

  /** Ends the attempt because of what the replica sends. */
  private void breakOff(String reason) {
    if (ended) {
      return;
    }
    connection.close();
    end();
    view.health().onConnectionLost();
    owner.onFailed(this, AttemptFailure.BROKEN, reason);
  }

  /** Records that no part of the prompt has crashed the replica. */
  private void recordSurvived() {
    if (!survived) {
      survived = true;
      fleet.crashes().onSurvived(owner.traits(), System.nanoTime());
    }
  }

  /** Records that the replica has run the request to a good end. */
  private void recordCompleted() {
    if (status < FIRST_ERROR_STATUS) {
      String service = view.replica().service();
      fleet.crashes().onCompleted(owner.traits(), service, sentNanos, owner.isTrial());
    }
  }

  /** Finds out whether the replica has ended, if it has been silent when the time is over. */
  void lookAtSilentReplica() {
    boolean silent = status == 0 || silentNanos() >= SILENT_NANOS;
    if (sent && !ended && silent) {
      reportBroken();
    }
  }

  private long silentNanos() {
    return readingStopped ? 0 : System.nanoTime() - lastReceivedNanos;
  }

  /** Records that nobody waits for the answer any more, and that the replica may yet end. */
  void abandon() {
    if (sent && !ended) {
      crashDetector.onAbandoned(view.replica(), inFlight(), System.nanoTime());
    }
  }

  private void reportBroken() {
    crashDetector.onBroken(view.replica(), inFlight(), System.nanoTime());
  }

  private InFlight inFlight() {
    return new InFlight(owner.traits(), sentNanos, survived);
  }

  /**
   * Records complete events of the stream.
   *
   * @param events the number of events of this attempt so far
   */
  void onEvents(int events) {
    work.onEvents(events, lastReceivedNanos);
    onFirstEvent();
  }

  /** Records the first complete event, by which time the replica has processed the prompt. */
  private void onFirstEvent() {
    if (!prefillDone) {
      prefillDone = true;
      firstEventNanos = System.nanoTime();
      view.load().onPrefillDone(uncachedTokens);
    }
  }

  @Override
  public void onEnd() {
    if (ended) {
      return;
    }
    end();
    if (responseFailure != null) {
      view.health().onResponse(responseFailure == AttemptFailure.NOT_EXECUTED);
      owner.onFailed(this, responseFailure, "replica responded with status " + status);
      return;
    }
    if (streaming && !owner.isStreamComplete(this)) {
      view.health().onConnectionLost();
      owner.onFailed(this, AttemptFailure.BROKEN, "stream ended inside an event or without any");
      return;
    }
    view.health().onResponse(true);
    recordSurvived();
    recordCompleted();
    work.onCompleted(status < FIRST_ERROR_STATUS, lastReceivedNanos);
    if (streaming) {
      owner.onStreamEnd(this);
    } else {
      owner.onResponse(this);
    }
  }

  @Override
  public void onFailure(String reason) {
    if (ended) {
      return;
    }
    end();
    view.health().onConnectionLost();
    if (sent) {
      reportBroken();
    }
    owner.onFailed(this, AttemptFailure.BROKEN, reason);
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    if (silenceTimer != null) {
      silenceTimer.cancel(false);
    }
    if (transfer != null) {
      transfer.onEnded();
    }
    if (transfer != null && !sent) {
      transfer.onWritten();
    }
    if (sent) {
      onFirstEvent();
      work.onEnded();
      view.load().onEnded();
    }
  }
}

package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.snipeloom.buffering.BufferDecision;
import io.snipeloom.buffering.ResponseBuffer;
import io.snipeloom.crashes.Conviction;
import io.snipeloom.crashes.RequestTraits;
import io.snipeloom.resumption.StreamOrigin;
import io.snipeloom.routing.CustomerConfiguration;
import io.snipeloom.routing.ForwardMetadata;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Processes one request from its arrival to its final response.
 *
 * <p>Once its {@link RequestEntry} accepts the request, it is sent to a replica, the response is
 * relayed, and the request is retried on another replica if that is allowed. Confined to the event
 * loop thread.
 */
final class Exchange implements AttemptOwner, RequestEntry.Listener {
  /**
   * The number of further events that are counted as consumed when an attempt is interrupted. The
   * replica may have produced them although they did not arrive.
   */
  private static final int MAX_UNRECEIVED_EVENTS = 8;

  private final EventLoop loop;
  private final Fleet fleet;
  private final CrashDetector crashDetector;
  private final ExchangeLog log;
  private final FleetMetrics metrics;
  private final CallerRequest request;
  private final CallerChannel caller;
  private final Runnable onDone;
  private final CallerResponse response;
  private final AttemptHistory history = new AttemptHistory();
  private final RelayedStream stream = new RelayedStream();

  private final RequestEntry entry;
  private ScheduledFuture<?> deadlineTimer;
  private Attempt attempt;
  private ResponseProgress progress = ResponseProgress.NONE;

  /** When the caller may come back; 0 if the attempts tell. */
  private long comeBackMillis;

  private boolean done;

  Exchange(
      EventLoop loop,
      Fleet fleet,
      CrashDetector crashDetector,
      EventLog log,
      FleetMetrics metrics,
      CallerRequest request,
      CallerChannel caller,
      Runnable onDone) {
    this.loop = loop;
    this.fleet = fleet;
    this.crashDetector = crashDetector;
    this.log = new ExchangeLog(log);
    this.metrics = metrics;
    this.request = request;
    this.caller = caller;
    this.onDone = onDone;
    this.response = new CallerResponse(caller, metrics, request.arrivedNanos());
    this.entry = new RequestEntry(fleet, this.log, metrics, request, stream, this);
  }

  /** Starts processing the request. */
  void start() {
    try {
      entry.start();
    } catch (SnipeloomException e) {
      respond(LocalResponse.of(e.code(), e.getMessage()));
    }
  }

  /** Cancels the request because its caller disconnected. */
  void onCallerGone() {
    if (!done) {
      if (attempt != null) {
        attempt.abandon();
      }
      stopAttempt("caller disconnected");
      finish("caller_gone", 0, "");
    }
  }

  /** Ends the request if requests like it are refused by now and its answer has not begun. */
  void refuseIfConvicted() {
    if (done || response.isBegun() || !entry.isRouted()) {
      return;
    }
    Optional<Conviction> conviction = findConviction(entry.isTrial());
    if (conviction.isPresent()) {
      stopAttempt("convicted");
      onConvicted(conviction.get());
    }
  }

  /** Ends the request before the process ends: answers it, or cuts off an answer that has begun. */
  void endBeforeShutdown() {
    if (attempt != null) {
      attempt.readArrived();
    }
    if (done || !entry.isRouted()) {
      return;
    }
    metrics.count(response.isBegun() ? "cut_for_shutdown" : "answered_for_shutdown");
    stopAttempt("shutdown");
    comeBackMillis = LocalResponse.SHUTDOWN_RETRY_MILLIS;
    fail(ErrorCode.NO_UPSTREAM, RequestEntry.SHUTDOWN_REASON);
  }

  /** Resumes reading the response, for which there is room again. */
  void resumeReading() {
    if (attempt != null) {
      attempt.resumeReading();
    }
  }

  /** Cuts off the response because the bytes that it holds are needed for others. */
  void cutOff(String reason) {
    if (!done) {
      stopAttempt(reason);
      fail(ErrorCode.OVERLOADED, reason);
    }
  }

  /** Returns the attempt ID of the request, empty if unknown. */
  String attemptId() {
    return entry.attemptId();
  }

  @Override
  public void onRouted(RoutedRequest routed) {
    caller.buffer().begin(routed.customer().map(CustomerConfiguration::id));
    long delayNanos = Math.max(0, routed.deadlineNanos() - System.nanoTime());
    deadlineTimer = loop.schedule(this::onDeadline, delayNanos, TimeUnit.NANOSECONDS);
  }

  @Override
  public void onAccepted() {
    dispatch();
  }

  @Override
  public void onRefused(LocalResponse refusal) {
    respond(refusal);
  }

  private Optional<Conviction> findConviction(boolean tried) {
    return tried ? fleet.crashes().findPart(traits()) : fleet.crashes().find(traits());
  }

  @Override
  public void onConvicted(Conviction conviction) {
    String reason = conviction.trait() + " crashed replicas " + conviction.crashes() + " times";
    if (history.mayHaveRun()) {
      fail(ErrorCode.UPSTREAM_FAILED, reason);
    } else {
      respond(LocalResponse.convicted(reason, fleet.crashes().mayBeTried(conviction)));
    }
  }

  private void onDeadline() {
    if (attempt != null) {
      attempt.readArrived();
    }
    if (done) {
      return;
    }
    if (attempt != null) {
      attempt.lookAtSilentReplica();
      attempt.expire();
    }
    stopAttempt("deadline exceeded");
    fail(ErrorCode.DEADLINE_EXCEEDED, "deadline exceeded");
  }

  private void dispatch() {
    if (!isTimeToSend()) {
      metrics.count("refused_for_shutdown");
      comeBackMillis = LocalResponse.SHUTDOWN_RETRY_MILLIS;
      fail(ErrorCode.NO_UPSTREAM, RequestEntry.SHUTDOWN_REASON);
      return;
    }
    Optional<Conviction> conviction = findConviction(entry.isTrial() && history.sends() == 0);
    if (conviction.isPresent()) {
      onConvicted(conviction.get());
      return;
    }
    ReplicaChoice choice =
        ReplicaChoice.of(
            fleet, routed(), request.body().readableBytes(), stream, history, System.nanoTime());
    if (choice.picked().isEmpty()) {
      comeBackMillis = choice.retryMillis();
      choice.counter().ifPresent(metrics::count);
      fail(ErrorCode.NO_UPSTREAM, choice.reason());
      return;
    }
    attempt =
        new Attempt(
            loop,
            fleet,
            request,
            attemptId(),
            choice.picked().get(),
            choice.uncachedTokens(),
            log,
            crashDetector,
            this);
    attempt.connect();
  }

  @Override
  public boolean isCallerWaiting() {
    return !done && caller.isOpen();
  }

  @Override
  public boolean confirmCaller() {
    if (done) {
      return false;
    }
    boolean connected = caller.isStillConnected();
    if (!connected) {
      metrics.count("caller_left_before_send");
    }
    return connected;
  }

  @Override
  public RequestTraits traits() {
    return routed().traits();
  }

  @Override
  public RoutedRequest routed() {
    return entry.routed();
  }

  @Override
  public boolean isTrial() {
    return entry.isTrial();
  }

  @Override
  public boolean mayGoTo(ReplicaView view) {
    if (!fleet.placement().isInService(view.replica())) {
      metrics.count("moved_for_evacuation");
      return false;
    }
    boolean atHome = ReplicaChoice.isAtHome(view, fleet, routed());
    if (!atHome) {
      metrics.count("moved_for_homes");
    }
    return atHome;
  }

  @Override
  public ForwardMetadata forwardMetadata(ReplicaView view) {
    return routed().forwardMetadata(view.replica().id(), stream.lastEventId(), System.nanoTime());
  }

  @Override
  public void onSent(Attempt sent) {
    long now = System.nanoTime();
    history.onSent();
    if (sent.view().limit().isWarmingUp(now)) {
      metrics.count("sent_to_cold");
      log.sentToCold(sent.view().replica().id(), sent.view().limit().coldMillis(now));
    }
    if (history.sends() == 1) {
      fleet.retryAllowanceOf(routed().service()).onRequest(now);
    }
    entry
        .metadata()
        .prompt()
        .ifPresent(
            prompt -> {
              fleet.picker().recordPrompt(prompt, now);
              fleet.onPromptSent(sent.view(), prompt);
            });
    log.sent(
        sent.view(),
        sent.connection(),
        stream.position(entry.metadata()),
        routed().sharedParts(),
        sent.uncachedTokens(),
        fleet.picker().peers(),
        request,
        now,
        remainingMillis());
    metrics.waitBeforeSend(request.ageMillis(now));
  }

  @Override
  public boolean isStreamBegun() {
    return response.isBegun();
  }

  @Override
  public boolean isStreamOutOfOrder() {
    return stream.isOutOfOrder();
  }

  @Override
  public long silenceTimeoutMillis() {
    return RetryRules.silenceTimeoutMillis(routed().route());
  }

  @Override
  public boolean mayRetryAfterSilence() {
    return isTimeToSend() && history.mayRetryAfterSilence(routed().route(), remainingMillis());
  }

  /** Returns whether this instance runs for as long as an attempt may take that begins now. */
  private boolean isTimeToSend() {
    return response.isBegun() || fleet.shutdown().maySend(routed(), System.nanoTime());
  }

  @Override
  public void onStreamContent(Attempt source, ByteBuf content) {
    if (!onBodyContent(source, content.readableBytes())) {
      return;
    }
    ByteBuf complete = stream.append(content);
    if (!complete.isReadable()) {
      return;
    }
    history.onExecuted();
    source.onEvents(stream.eventsOfAttempt());
    entry
        .admission()
        .ifPresent(admission -> admission.onEvents(history.sends(), System.nanoTime()));
    recordOrigin(source);
    response.sendHeadOnce(source);
    caller.sendContent(complete);
  }

  @Override
  public boolean onBodyContent(Attempt source, int bytes) {
    ResponseBuffer buffer = caller.buffer();
    BufferDecision decision = buffer.onReceived(bytes);
    if (decision == BufferDecision.STOP_READING) {
      stopReading(source);
    } else if (decision == BufferDecision.CUT_OFF && !done) {
      caller.cutOff("the bytes of the response cannot be held");
    }
    return !done;
  }

  /** Stops reading the response, for which there is no room. */
  void stopReading() {
    if (attempt != null && attempt.isAnswering()) {
      stopReading(attempt);
    }
  }

  private void stopReading(Attempt source) {
    source.stopReading();
    log.readingStopped(caller.buffer(), fleet.buffers());
    metrics.count("response_reading_stopped");
  }

  private void recordOrigin(Attempt source) {
    Optional<StreamOrigin> begun = stream.onEvents(source.view().replica());
    if (begun.isPresent() && routed().route().isResumableStream()) {
      fleet.streams().onBegun(attemptId(), begun.get(), System.nanoTime());
    }
  }

  @Override
  public int pendingEventBytes() {
    return stream.pendingEventBytes();
  }

  @Override
  public boolean isStreamComplete(Attempt source) {
    return stream.mayEnd(source.framing());
  }

  @Override
  public void onStreamEnd(Attempt source) {
    onCompleted(source);
    response.sendHeadOnce(source);
    ByteBuf remainder = stream.takeRemainder();
    if (remainder.isReadable()) {
      caller.sendContent(remainder);
    }
    caller.sendEnd();
    long nowNanos = System.nanoTime();
    fleet.shutdown().onStreamCompleted(routed(), nowNanos - request.arrivedNanos(), nowNanos);
    finish("served", source.status(), "");
  }

  @Override
  public void onResponse(Attempt source) {
    onCompleted(source);
    relay(source);
  }

  private void onCompleted(Attempt source) {
    attempt = null;
    progress = stream.progress(source.framing());
    history.onCompleted(source.view().replica().id());
    source.cost().ifPresent(cost -> recordCost(source.view(), cost));
  }

  private void recordCost(ReplicaView view, CostOutcome cost) {
    log.cost(view.replica().id(), cost);
    metrics.output(cost.route(), cost.tokens(), cost.estimatedTokens());
    metrics.pace(cost.pace());
    if (cost.predicted().known()) {
      metrics.firstEvent(
          cost.route(), cost.firstEventMillis(), cost.predicted().firstEventMillis());
    }
  }

  /** Relays the complete response of a replica to the caller unchanged. */
  private void relay(Attempt source) {
    if (response.isBegun()) {
      fail(ErrorCode.UPSTREAM_FAILED, "replica responded with status " + source.status());
      return;
    }
    response.relay(source);
    finish("served", source.status(), "");
  }

  @Override
  public void onFailed(Attempt failed, AttemptFailure failure, String reason) {
    attempt = null;
    history.onFailed(failed.view().replica().id(), failure);
    progress = stream.progress(failed.framing());
    long remainingMillis = remainingMillis();
    boolean retry =
        caller.isOpen()
            && history.mayRetry(routed().route(), failure, remainingMillis)
            && mayRetryHere(failure);
    log.attemptFailed(
        failed.view().replica().id(),
        failure,
        reason,
        progress,
        history.sends(),
        fleet.buffers().bodies().unansweredBytes(failed.view().replica().id()),
        remainingMillis,
        retry);
    metrics.count("attempt_failed_" + failure.name().toLowerCase(Locale.ROOT));
    if (retry) {
      caller.buffer().discard();
      stream.beginAttempt();
      dispatch();
    } else if (failure == AttemptFailure.ERROR_ANSWER) {
      relay(failed);
    } else {
      fail(ErrorCode.UPSTREAM_FAILED, reason);
    }
  }

  /** Returns whether this instance retries a request that may be retried. */
  private boolean mayRetryHere(AttemptFailure failure) {
    if (failure == AttemptFailure.NOT_CONNECTED) {
      // The next replica would not be reached in time either.
      return !fleet.isOverloaded();
    }
    return fleet.retryAllowanceOf(routed().service()).tryRetry(System.nanoTime());
  }

  /**
   * Sends the final response of a request that will not be retried, or truncates a response that
   * has already begun.
   */
  private void fail(ErrorCode code, String reason) {
    if (response.isBegun()) {
      history.onCutOff();
      caller.abort();
      finish("broken_off", 0, reason);
    } else if (history.mayHaveRun()) {
      ErrorCode reported = code == ErrorCode.DEADLINE_EXCEEDED ? code : ErrorCode.OUTCOME_UNKNOWN;
      respond(LocalResponse.of(reported, reason));
    } else if (code == ErrorCode.DEADLINE_EXCEEDED) {
      respond(LocalResponse.of(code, reason));
    } else {
      respond(
          LocalResponse.notExecuted(
              ErrorCode.NO_UPSTREAM, reason, retryMillis(), remainingMillis()));
    }
  }

  private long retryMillis() {
    if (comeBackMillis > 0) {
      return comeBackMillis;
    }
    if (fleet.isOverloaded()) {
      return LocalResponse.spread(LocalResponse.OTHER_INSTANCE_RETRY_MILLIS, Math.random());
    }
    return history.isRefusedByReplicas()
        ? LocalResponse.AT_CAPACITY_RETRY_MILLIS
        : LocalResponse.CRASH_RETRY_MILLIS;
  }

  private void stopAttempt(String reason) {
    if (attempt == null) {
      return;
    }
    log.cancelled(attempt.view().replica().id(), reason);
    if (attempt.isSent()) {
      history.onStopped();
    }
    attempt.stop();
    attempt = null;
  }

  private long remainingMillis() {
    return routed().remainingMillis(System.nanoTime());
  }

  private void respond(LocalResponse local) {
    response.sendLocal(local, fleet.codec().localResponseHeaders(attemptId()));
    finish(local.code().text(), local.status(), local.reason());
  }

  private void finish(String outcome, int status, String reason) {
    done = true;
    entry.end();
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    final long consumedTokens = settle();
    caller.buffer().discard();
    request.release();
    long totalMillis = request.ageMillis(System.nanoTime());
    metrics.total(totalMillis);
    metrics.count("request_" + outcome.replace('.', '_'));
    log.request(
        new ExchangeLog.Summary(
            entry.isRouted() ? routed().customerText() : "",
            entry.isRouted() ? routed().route().name() : "",
            entry.isRouted() ? routed().configuration().version() : 0,
            outcome,
            status,
            reason,
            history.sends(),
            history.tried(),
            progress,
            consumedTokens,
            response.firstByteMillis(),
            totalMillis));
    onDone.run();
  }

  /** Settles the reservation and returns the tokens counted as consumed. */
  private long settle() {
    return entry.reservation().map(this::settle).orElse(0L);
  }

  private long settle(Reservation reservation) {
    if (!history.mayHaveRun()) {
      return reservation.settleUnused();
    }
    int producedEvents =
        stream.eventCount() + (history.isInterrupted() ? MAX_UNRECEIVED_EVENTS : 0);
    return reservation.settleExecuted(
        (long) producedEvents * fleet.tokensPerEvent(routed().service()));
  }
}

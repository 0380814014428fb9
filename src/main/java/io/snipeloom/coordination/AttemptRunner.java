package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.protocol.CallState;
import io.snipeloom.protocol.Header;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.LogLine;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.UpstreamKind;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Runs queued attempts at the back end. Each attempt ends exactly once: complete, failed or not
 * run.
 *
 * <p>Confined to one executor, to which the back end's responses are forwarded.
 */
final class AttemptRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int OK = 200;
  private static final int MIN_SERVER_ERROR = 500;

  private final UpstreamKind kind;
  private final BackEndClient backEnd;
  private final AttemptQueue queue;
  private final AttemptMemory memory;
  private final DispatchGuard guard;
  private final CrashSuspects crashes;
  private final SettlementWriter settlements;
  private final Executor executor;
  private final LongSupplier nanoClock;
  private final MetricRegistry metrics;
  private final EngineRequest engineRequest = new EngineRequest();
  private CrashHandler crashHandler;
  private String startId = "";
  private boolean blocked;

  AttemptRunner(
      UpstreamKind kind,
      BackEndClient backEnd,
      AttemptQueue queue,
      AttemptMemory memory,
      DispatchGuard guard,
      CrashSuspects crashes,
      SettlementWriter settlements,
      Executor executor,
      LongSupplier nanoClock,
      MetricRegistry metrics) {
    this.kind = kind;
    this.backEnd = backEnd;
    this.queue = queue;
    this.memory = memory;
    this.guard = guard;
    this.crashes = crashes;
    this.settlements = settlements;
    this.executor = executor;
    this.nanoClock = nanoClock;
    this.metrics = metrics;
  }

  /** Handles a call whose connection broke after the call may have been sent. */
  interface CrashHandler {
    void onBroken(SidecarAttempt attempt, String message);
  }

  void setCrashHandler(CrashHandler handler) {
    crashHandler = handler;
  }

  /**
   * Sets the identifier of the current start of the back end, which is recorded in the attempts
   * started from now on.
   */
  void setStartId(String newStartId) {
    startId = newStartId;
  }

  /** Sets whether the start of attempts is suspended. */
  void setBlocked(boolean newBlocked) {
    blocked = newBlocked;
    startWaiting();
  }

  void startWaiting() {
    while (!blocked) {
      var next = queue.startNext(this::mustRunAlone);
      if (next.isEmpty()) {
        return;
      }
      start(next.get());
    }
  }

  private boolean mustRunAlone(SidecarAttempt attempt) {
    return attempt.dispatch().alone() || crashes.isSuspect(attempt.dispatch().fingerprint());
  }

  private void start(SidecarAttempt attempt) {
    var refusal = guard.startRefusal(attempt, nanoClock.getAsLong());
    if (refusal.isPresent()) {
      refuse(attempt, refusal.get());
      return;
    }
    if (attempt.isStarted()) {
      throw Invariants.violated(metrics, "an attempt was started twice", attempt);
    }
    attempt.start(nanoClock.getAsLong(), queue.isExclusive(), startId);
    try {
      var call = engineRequest.of(attempt.dispatch(), kind);
      attempt.setCall(backEnd.start(call, new ResponseForwarder(attempt)));
    } catch (SnipeloomException e) {
      refuse(attempt, e.code(), e.getMessage(), 0);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogLine.of("call.failed"));
      fail(attempt, ErrorCode.INTERNAL, "the call to the back end could not be started");
    }
  }

  /** Ends an attempt that is known not to have run. */
  void refuse(SidecarAttempt attempt, ErrorCode code, String message, long retryAfterMillis) {
    refuse(
        attempt,
        new Message.Refused(attempt.id(), code, message, RunState.NOT_RUN, retryAfterMillis));
  }

  private void refuse(SidecarAttempt attempt, Message.Refused refusal) {
    close(attempt);
    memory.recordResult(attempt.id(), CallState.NOT_RUN);
    settlements.release(attempt);
    attempt.buffer().finish(refusal);
    startWaiting();
  }

  /** Refuses all waiting attempts because the back end is down. */
  void refuseWaiting() {
    for (SidecarAttempt attempt : queue.waiting()) {
      queue.removeWaiting(attempt);
      refuse(attempt, ErrorCode.UPSTREAM_FAILED, "the back end is down", 0);
    }
  }

  /** Ends an attempt that was started and whose answer is incomplete. */
  void fail(SidecarAttempt attempt, ErrorCode code, String message) {
    attempt.cancelCall();
    ErrorCode reportedCode = attempt.isRepeatable() ? code : ErrorCode.OUTCOME_UNKNOWN;
    finish(attempt, false, reportedCode, message, false);
  }

  /**
   * Cancels an attempt whose caller disconnected. A running call that must not be repeated is left
   * to complete.
   */
  void cancel(SidecarAttempt attempt) {
    if (attempt.isEnded()) {
      return;
    }
    if (queue.removeWaiting(attempt)) {
      refuse(attempt, ErrorCode.CONNECTION_LOST, "the caller disconnected", 0);
    } else if (attempt.isRepeatable()) {
      attempt.cancelCall();
      finish(attempt, false, ErrorCode.CONNECTION_LOST, "the caller disconnected", true);
    }
  }

  private void finish(
      SidecarAttempt attempt, boolean complete, ErrorCode code, String message, boolean billed) {
    close(attempt);
    UsageMeter meter = attempt.meter();
    RunState outcome = complete || attempt.isRepeatable() ? RunState.RAN : RunState.UNKNOWN;
    memory.recordResult(attempt.id(), resultOf(complete, outcome));
    settlements.settle(attempt, billed, outcome);
    attempt
        .buffer()
        .finish(
            new Message.AnswerEnd(
                attempt.id(),
                attempt.buffer().chunkCount(),
                complete,
                meter.promptTokens(),
                meter.outputTokens(),
                code,
                message));
    logEnd(attempt, complete, code);
    startWaiting();
  }

  private static CallState resultOf(boolean complete, RunState outcome) {
    if (complete) {
      return CallState.DONE;
    }
    return outcome == RunState.RAN ? CallState.RAN : CallState.UNKNOWN;
  }

  private void close(SidecarAttempt attempt) {
    if (attempt.isEnded()) {
      throw Invariants.violated(metrics, "an attempt ended twice", attempt);
    }
    attempt.end(nanoClock.getAsLong());
    queue.finish(attempt);
  }

  private void logEnd(SidecarAttempt attempt, boolean complete, ErrorCode code) {
    metrics.meter(complete ? "sidecar.attempts.done" : "sidecar.attempts.failed").mark();
    logger.atInfo().log(
        "%s",
        LogLine.of("attempt.ended")
            .with("holder", attempt.holder())
            .with("attempt", attempt.id().sequence())
            .with("complete", complete)
            .with("code", code == null ? "none" : code.text())
            .with("consumed", attempt.meter().consumedTokens()));
  }

  private void handleHead(SidecarAttempt attempt, int status, List<Header> headers) {
    if (kind == UpstreamKind.MODEL_ENGINE && status != OK) {
      attempt.meter().setNoUsage();
    }
    boolean overloaded = status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
    if (attempt.isRepeatable() && overloaded) {
      attempt.cancelCall();
      refuse(
          attempt, ErrorCode.OVERLOADED, "the back end is overloaded", retryAfterMillis(headers));
    } else if (attempt.isRepeatable() && status >= MIN_SERVER_ERROR) {
      fail(attempt, ErrorCode.UPSTREAM_FAILED, "the back end responded with status " + status);
    } else {
      attempt.buffer().addHead(status, headers);
    }
  }

  private static long retryAfterMillis(List<Header> headers) {
    return headers.stream()
        .filter(header -> header.name().equalsIgnoreCase("retry-after"))
        .map(Header::value)
        .filter(value -> value.matches("[0-9]{1,6}"))
        .mapToLong(value -> Long.parseLong(value) * 1000)
        .findFirst()
        .orElse(0);
  }

  private void handleData(SidecarAttempt attempt, byte[] data) {
    if (kind == UpstreamKind.MODEL_ENGINE) {
      attempt.meter().addEvent(data);
    }
    if (attempt.meter().exceedsReservation()) {
      Invariants.violated(metrics, "an attempt consumed more tokens than it reserved", attempt);
      metrics.meter("sidecar.usage.over").mark();
      fail(
          attempt,
          ErrorCode.INVARIANT_VIOLATED,
          "the answer consumed more tokens than were reserved");
    } else if (!attempt.buffer().addChunk(data)) {
      fail(attempt, ErrorCode.UPSTREAM_FAILED, "the answer exceeds the buffer limit");
    }
  }

  private void handleEnd(SidecarAttempt attempt) {
    if (attempt.ranAlone()) {
      clearSuspicion(attempt.dispatch().fingerprint());
    }
    finish(attempt, true, null, "", true);
  }

  private void clearSuspicion(String fingerprint) {
    crashes.clear(fingerprint);
    if (crashes.isRecordedSuspect(fingerprint)) {
      settlements.clearSuspect(fingerprint);
    }
  }

  private void handleFailure(SidecarAttempt attempt, BackEndFailure failure, String message) {
    if (failure == BackEndFailure.NOT_SENT) {
      refuse(attempt, ErrorCode.UPSTREAM_FAILED, message, 0);
    } else {
      attempt.setBroken();
      crashHandler.onBroken(attempt, message);
    }
  }

  /**
   * Forwards the back end's response to the executor and drops everything that arrives after the
   * attempt has ended.
   */
  private final class ResponseForwarder implements BackEndListener {
    private final SidecarAttempt attempt;

    ResponseForwarder(SidecarAttempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public void onHead(int status, List<Header> headers) {
      run(() -> handleHead(attempt, status, headers));
    }

    @Override
    public void onData(byte[] data) {
      run(() -> handleData(attempt, data));
    }

    @Override
    public void onEnd() {
      run(() -> handleEnd(attempt));
    }

    @Override
    public void onFailure(BackEndFailure failure, String message) {
      run(() -> handleFailure(attempt, failure, message));
    }

    private void run(Runnable step) {
      executor.execute(
          () -> {
            if (!attempt.isEnded()) {
              step.run();
            }
          });
    }
  }
}

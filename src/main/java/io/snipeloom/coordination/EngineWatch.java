package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.LogLine;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Watches the back end, tells a crash from a broken connection and reports who was in flight.
 *
 * <p>After a broken call nothing starts until a probe has answered. Attempts that were in flight at
 * a crash end only when the report is in the log, or after a bound, so that a retry elsewhere meets
 * readers that know the suspects. Confined to one executor.
 */
final class EngineWatch {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_FAILED_PROBES = 3;
  private static final BackEndStatus UNREACHABLE = new BackEndStatus(false, 0, 0, 0, "");

  private final Incarnation self;
  private final BackEndClient backEnd;
  private final AttemptQueue queue;
  private final AttemptRunner runner;
  private final CrashSuspects crashes;
  private final RecordSink sink;
  private final Executor executor;
  private final LongSupplier nanoClock;
  private final long reportLimitNanos;
  private final MetricRegistry metrics;
  private final List<PendingCrash> pendingCrashes = new ArrayList<>();
  private BackEndStatus status = UNREACHABLE;
  private int failedProbes;
  private boolean probing;
  private boolean conclusive;
  private boolean ripe;
  private boolean investigating;

  EngineWatch(
      Incarnation self,
      BackEndClient backEnd,
      AttemptQueue queue,
      AttemptRunner runner,
      CrashSuspects crashes,
      RecordSink sink,
      Executor executor,
      LongSupplier nanoClock,
      long reportLimitNanos,
      MetricRegistry metrics) {
    this.self = self;
    this.backEnd = backEnd;
    this.queue = queue;
    this.runner = runner;
    this.crashes = crashes;
    this.sink = sink;
    this.executor = executor;
    this.nanoClock = nanoClock;
    this.reportLimitNanos = reportLimitNanos;
    this.metrics = metrics;
  }

  BackEndStatus status() {
    return status;
  }

  boolean isUp() {
    return status.ready();
  }

  /** Asks the back end for its status, unless the question is open. */
  void probe() {
    if (probing) {
      return;
    }
    probing = true;
    conclusive = ripe;
    var unused =
        backEnd
            .probe()
            .handleAsync(
                (answer, error) -> {
                  probed(error == null ? answer : UNREACHABLE);
                  return null;
                },
                executor);
  }

  /** Handles a call that broke after it was sent. */
  void onBroken(SidecarAttempt attempt, String message) {
    logger.atWarning().log(
        "%s", LogLine.of("call.broken").with("holder", attempt.holder()).with("reason", message));
    if (!investigating) {
      investigating = true;
      runner.setBlocked(true);
    }
  }

  private void probed(BackEndStatus answer) {
    probing = false;
    status = answer;
    failedProbes = answer.ready() ? 0 : failedProbes + 1;
    if (answer.ready()) {
      runner.setStartId(answer.startId());
      adoptCapacity(answer);
    }
    if (investigating && conclusive) {
      investigate(answer);
    }
    if (failedProbes == MAX_FAILED_PROBES) {
      runner.refuseWaiting();
    }
    runner.setBlocked(!answer.ready() || investigating || !pendingCrashes.isEmpty());
  }

  private void investigate(BackEndStatus answer) {
    investigating = false;
    ripe = false;
    if (isCrash(answer)) {
      crashed(inFlight(answer));
    } else {
      failBroken();
    }
  }

  private void adoptCapacity(BackEndStatus answer) {
    if (answer.capacity() > 0) {
      queue.setCapacity(answer.capacity());
    }
  }

  /**
   * Returns whether the back end crashed: it is down, or it was started anew since a broken call. A
   * back end that does not tell its starts, such as a plain service, is believed to be up if it
   * answers; one broken connection must not convict a request.
   */
  private boolean isCrash(BackEndStatus answer) {
    if (!answer.ready()) {
      return true;
    }
    if (answer.startId().isEmpty()) {
      return false;
    }
    return queue.running().stream()
        .anyMatch(a -> a.isBroken() && !a.startId().equals(answer.startId()));
  }

  private List<SidecarAttempt> inFlight(BackEndStatus answer) {
    boolean sameStart = answer.ready() && !answer.startId().isEmpty();
    return queue.running().stream()
        .filter(a -> a.isBroken() || !sameStart || !a.startId().equals(answer.startId()))
        .filter(a -> pendingCrashes.stream().noneMatch(crash -> crash.inFlight().contains(a)))
        .toList();
  }

  private void failBroken() {
    for (SidecarAttempt attempt : queue.running()) {
      if (attempt.isBroken()) {
        runner.fail(attempt, ErrorCode.UPSTREAM_FAILED, "the back end broke the answer off");
      }
    }
  }

  private void crashed(List<SidecarAttempt> inFlight) {
    if (inFlight.isEmpty()) {
      return;
    }
    List<String> prints =
        inFlight.stream().map(a -> a.dispatch().fingerprint()).distinct().toList();
    crashes.note(prints);
    metrics.meter("sidecar.engine.crashes").mark();
    logger.atWarning().log(
        "%s",
        LogLine.of("engine.crashed").with("inFlight", inFlight.size()).with("prints", prints));
    PendingCrash crash = new PendingCrash(inFlight, nanoClock.getAsLong());
    pendingCrashes.add(crash);
    report(prints, crash);
    runner.refuseWaiting();
  }

  private void report(List<String> prints, PendingCrash crash) {
    boolean alone = prints.size() == 1;
    List<DecisionRecord> records = new ArrayList<>();
    for (String print : prints) {
      records.add(new DecisionRecord.CrashReported(print, self, alone));
    }
    var unused = sink.append(records).thenRunAsync(() -> endCrashed(crash), executor);
  }

  private void endCrashed(PendingCrash crash) {
    if (!pendingCrashes.remove(crash)) {
      return;
    }
    for (SidecarAttempt attempt : crash.inFlight()) {
      if (!attempt.isEnded()) {
        runner.fail(attempt, ErrorCode.UPSTREAM_FAILED, "the engine crashed");
      }
    }
    runner.setBlocked(!status.ready() || investigating || !pendingCrashes.isEmpty());
  }

  /**
   * Ends attempts whose crash report has waited for the log long enough. A broken call is judged by
   * a probe that begins after a tick, so that its neighbours had time to break too.
   */
  void tick(long nowNanos) {
    ripe = investigating;
    for (PendingCrash crash : List.copyOf(pendingCrashes)) {
      if (nowNanos - crash.sinceNanos() > reportLimitNanos) {
        metrics.meter("sidecar.crashreports.late").mark();
        endCrashed(crash);
      }
    }
  }

  /** The attempts of a crash that is being reported. */
  private record PendingCrash(List<SidecarAttempt> inFlight, long sinceNanos) {}
}

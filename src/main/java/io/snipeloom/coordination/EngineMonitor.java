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
 * Monitors the back end, distinguishes a crash from a broken connection, and reports the requests
 * that were in flight at a crash.
 *
 * <p>After a call broke, no attempt is started until a probe has completed. Attempts that were in
 * flight at a crash are ended only once the crash report is in the log, or after a time limit, so
 * that the sidecars to which they are retried know them as suspects. Confined to one executor.
 */
final class EngineMonitor {
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
  private final long reportTimeoutNanos;
  private final MetricRegistry metrics;
  private final List<PendingCrash> pendingCrashes = new ArrayList<>();
  private BackEndStatus status = UNREACHABLE;
  private int failedProbes;
  private boolean probing;
  private boolean probeIsConclusive;
  private boolean tickedSinceBroken;
  private boolean investigating;

  EngineMonitor(
      Incarnation self,
      BackEndClient backEnd,
      AttemptQueue queue,
      AttemptRunner runner,
      CrashSuspects crashes,
      RecordSink sink,
      Executor executor,
      LongSupplier nanoClock,
      long reportTimeoutNanos,
      MetricRegistry metrics) {
    this.self = self;
    this.backEnd = backEnd;
    this.queue = queue;
    this.runner = runner;
    this.crashes = crashes;
    this.sink = sink;
    this.executor = executor;
    this.nanoClock = nanoClock;
    this.reportTimeoutNanos = reportTimeoutNanos;
    this.metrics = metrics;
  }

  BackEndStatus status() {
    return status;
  }

  boolean isUp() {
    return status.ready();
  }

  /** Probes the status of the back end, unless a probe is already running. */
  void probe() {
    if (probing) {
      return;
    }
    probing = true;
    probeIsConclusive = tickedSinceBroken;
    var unused =
        backEnd
            .probe()
            .handleAsync(
                (answer, error) -> {
                  onProbed(error == null ? answer : UNREACHABLE);
                  return null;
                },
                executor);
  }

  /** Handles a call whose connection broke after the call may have been sent. */
  void onBroken(SidecarAttempt attempt, String message) {
    logger.atWarning().log(
        "%s", LogLine.of("call.broken").with("holder", attempt.holder()).with("reason", message));
    if (!investigating) {
      investigating = true;
      runner.setBlocked(true);
    }
  }

  private void onProbed(BackEndStatus answer) {
    probing = false;
    status = answer;
    failedProbes = answer.ready() ? 0 : failedProbes + 1;
    if (answer.ready()) {
      runner.setStartId(answer.startId());
      updateCapacity(answer);
    }
    if (investigating && probeIsConclusive) {
      investigate(answer);
    }
    if (failedProbes == MAX_FAILED_PROBES) {
      runner.refuseWaiting();
    }
    runner.setBlocked(!answer.ready() || investigating || !pendingCrashes.isEmpty());
  }

  private void investigate(BackEndStatus answer) {
    investigating = false;
    tickedSinceBroken = false;
    if (isCrash(answer)) {
      onCrash(attemptsInFlight(answer));
    } else {
      failBrokenAttempts();
    }
  }

  private void updateCapacity(BackEndStatus answer) {
    if (answer.capacity() > 0) {
      queue.setCapacity(answer.capacity());
    }
  }

  /**
   * Returns whether the back end crashed: it is down, or it has restarted since a call broke. A
   * back end that reports no start identifier, such as a plain service, is assumed not to have
   * crashed if it answers, because a single broken connection must not convict a request.
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

  private List<SidecarAttempt> attemptsInFlight(BackEndStatus answer) {
    boolean sameStart = answer.ready() && !answer.startId().isEmpty();
    return queue.running().stream()
        .filter(a -> a.isBroken() || !sameStart || !a.startId().equals(answer.startId()))
        .filter(a -> pendingCrashes.stream().noneMatch(crash -> crash.inFlight().contains(a)))
        .toList();
  }

  private void failBrokenAttempts() {
    for (SidecarAttempt attempt : queue.running()) {
      if (attempt.isBroken()) {
        runner.fail(
            attempt,
            ErrorCode.UPSTREAM_FAILED,
            "the connection to the back end broke before the answer was complete");
      }
    }
  }

  private void onCrash(List<SidecarAttempt> inFlight) {
    if (inFlight.isEmpty()) {
      return;
    }
    List<String> fingerprints =
        inFlight.stream().map(a -> a.dispatch().fingerprint()).distinct().toList();
    crashes.recordCrash(fingerprints);
    metrics.meter("sidecar.engine.crashes").mark();
    logger.atWarning().log(
        "%s",
        LogLine.of("engine.crashed")
            .with("inFlight", inFlight.size())
            .with("prints", fingerprints));
    PendingCrash crash = new PendingCrash(inFlight, nanoClock.getAsLong());
    pendingCrashes.add(crash);
    report(fingerprints, crash);
    runner.refuseWaiting();
  }

  private void report(List<String> fingerprints, PendingCrash crash) {
    boolean alone = fingerprints.size() == 1;
    List<DecisionRecord> records = new ArrayList<>();
    for (String fingerprint : fingerprints) {
      records.add(new DecisionRecord.CrashReported(fingerprint, self, alone));
    }
    var unused = sink.append(records).thenRunAsync(() -> endAttempts(crash), executor);
  }

  private void endAttempts(PendingCrash crash) {
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
   * Ends the attempts of crashes whose report was not written to the log within the time limit.
   * Only a probe that starts after a tick following a broken call decides whether the back end
   * crashed, so that other calls broken by the same crash are noticed first.
   */
  void tick(long nowNanos) {
    tickedSinceBroken = investigating;
    for (PendingCrash crash : List.copyOf(pendingCrashes)) {
      if (nowNanos - crash.sinceNanos() > reportTimeoutNanos) {
        metrics.meter("sidecar.crashreports.late").mark();
        endAttempts(crash);
      }
    }
  }

  /** A crash whose report is not yet in the log, with the attempts that were in flight. */
  private record PendingCrash(List<SidecarAttempt> inFlight, long sinceNanos) {}
}

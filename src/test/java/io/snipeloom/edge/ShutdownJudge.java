package io.snipeloom.edge;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Predicate;

/**
 * Judges how requests ended while instances stopped.
 *
 * <p>Requests may be added by any thread; they are judged when all have ended.
 */
final class ShutdownJudge {
  /** Requests sent later than this after the signal must not be cut, whatever runs on. */
  private static final long EXCUSED_SENT_NANOS = 3_000_000_000L;

  /** A request that a replica still works on in this last part of the grace period may be cut. */
  private static final double EXCUSED_GRACE_SHARE = 5.0 / 6;

  /** A request that no replica received may cross a close for this time after its last byte. */
  private static final long CROSSING_NANOS = 200_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  private final PacedReplica work;
  private final double graceSeconds;
  private final Queue<SentRequest> sent = new ConcurrentLinkedQueue<>();
  private final Map<String, Long> signalNanos = new ConcurrentHashMap<>();

  ShutdownJudge(PacedReplica work, double graceSeconds) {
    this.work = work;
    this.graceSeconds = graceSeconds;
  }

  void add(SentRequest one) {
    sent.add(one);
  }

  /** Records that a process is told to stop now. */
  void onSignal(String process) {
    signalNanos.putIfAbsent(process, System.nanoTime());
  }

  int total() {
    return sent.size();
  }

  /** Returns the requests whose answer was cut though nothing excuses it. */
  List<SentRequest> lost() {
    return those(one -> !one.whole() && !isExcused(one));
  }

  /** Returns the requests that must not run twice and did. */
  List<SentRequest> repeated() {
    return those(one -> !one.kind().isRepeatable() && work.runs(one.attempt()) > 1);
  }

  /** Returns the requests that were refused as not run and have run. */
  List<SentRequest> refusedThoughRun() {
    return those(
        one -> !one.kind().isRepeatable() && one.status() == 503 && work.hasRun(one.attempt()));
  }

  /** Returns the streams with an event that is missing, comes twice or is out of order. */
  List<SentRequest> disordered() {
    return those(one -> !one.isInOrder());
  }

  /** Returns the attempts to resume a stream that were neither served nor refused as not run. */
  List<SentRequest> failedResumptions() {
    return those(
        one -> one.isResumption() && one.whole() && one.status() != 200 && !one.isRefused());
  }

  private boolean isExcused(SentRequest one) {
    if (!work.hasRun(one.attempt())) {
      return one.status() == 0 && one.endedNanos() - one.sentNanos() <= CROSSING_NANOS;
    }
    return one.isCutAtLimit() || isCutByExcusedStop(one);
  }

  private boolean isCutByExcusedStop(SentRequest one) {
    Long signal = signalNanos.get(one.process());
    if (signal == null) {
      return false;
    }
    long lastPartNanos = signal + (long) (graceSeconds * EXCUSED_GRACE_SHARE * NANOS_PER_SECOND);
    return one.sentNanos() - signal <= EXCUSED_SENT_NANOS
        && one.endedNanos() - lastPartNanos >= 0
        && work.isAtWork(one.attempt(), lastPartNanos);
  }

  private boolean isAfterSignal(SentRequest one) {
    Long signal = signalNanos.get(one.process());
    return signal != null && one.sentNanos() - signal > 0;
  }

  /** Returns how many requests ended how. */
  String summary() {
    return ("grace %.0f s: %d requests, %d after the signal, %d refused, %d cut, %d at their"
            + " time limit, %d without an answer, %d lost, %d resumed, %d of them served")
        .formatted(
            graceSeconds,
            sent.size(),
            count(this::isAfterSignal),
            count(SentRequest::isRefused),
            count(one -> !one.whole() && work.hasRun(one.attempt())),
            count(SentRequest::isCutAtLimit),
            count(one -> !one.whole() && !work.hasRun(one.attempt())),
            lost().size(),
            count(SentRequest::isResumption),
            count(one -> one.isResumption() && one.status() == 200));
  }

  private List<SentRequest> those(Predicate<SentRequest> condition) {
    return sent.stream().filter(condition).toList();
  }

  private int count(Predicate<SentRequest> condition) {
    return those(condition).size();
  }
}

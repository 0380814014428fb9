package io.snipeloom.routing;

/**
 * The load of a replica, as far as this instance knows.
 *
 * <p>The requests of this instance are counted exactly; those of other instances are derived from
 * the latest load report of the replica. Not thread-safe.
 */
public final class ReplicaLoad {
  /** The age above which a load report is ignored. */
  private static final long MAX_REPORT_AGE_NANOS = 1_500_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Before any time of the clock, which may be negative. */
  private static final long NO_REPORT_NANOS = Long.MIN_VALUE / 2;

  private int inFlight;
  private long pendingPrefillTokens;
  private int othersRunning;
  private int reportedWaiting;
  private long reportedNanos = NO_REPORT_NANOS;

  /**
   * Records that a request was sent.
   *
   * @param uncachedTokens the prompt tokens that the replica must process before its first event
   */
  public void onSent(long uncachedTokens) {
    inFlight++;
    pendingPrefillTokens += uncachedTokens;
  }

  /**
   * Records that the replica has processed a prompt.
   *
   * @param uncachedTokens the tokens that were passed to {@link #onSent} for the request
   */
  public void onPrefillDone(long uncachedTokens) {
    pendingPrefillTokens -= uncachedTokens;
  }

  /** Records that a request ended. */
  public void onEnded() {
    inFlight--;
  }

  /**
   * Records a load report of the replica.
   *
   * @param running the number of requests being executed
   * @param waiting the number of requests queued at the replica
   * @param nowNanos the current time
   */
  public void onReport(int running, int waiting, long nowNanos) {
    othersRunning = Math.max(0, running - inFlight);
    reportedWaiting = waiting;
    reportedNanos = nowNanos;
  }

  /** Returns the number of pending requests of this instance. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the prompt tokens of pending requests of this instance that are not processed yet. */
  public long pendingPrefillTokens() {
    return pendingPrefillTokens;
  }

  /**
   * Returns the number of requests of other instances being executed.
   *
   * @param nowNanos the current time
   * @return the number, 0 if the load report is too old
   */
  public int othersRunning(long nowNanos) {
    return isReportFresh(nowNanos) ? othersRunning : 0;
  }

  /**
   * Returns the number of requests queued at the replica.
   *
   * @param nowNanos the current time
   * @return the number, 0 if the load report is too old
   */
  public int waiting(long nowNanos) {
    return isReportFresh(nowNanos) ? reportedWaiting : 0;
  }

  /**
   * Returns the age of the latest load report.
   *
   * @param nowNanos the current time
   * @return the age in milliseconds, -1 if there was no report
   */
  public long reportAgeMillis(long nowNanos) {
    return reportedNanos == NO_REPORT_NANOS ? -1 : (nowNanos - reportedNanos) / NANOS_PER_MILLI;
  }

  private boolean isReportFresh(long nowNanos) {
    return nowNanos - reportedNanos < MAX_REPORT_AGE_NANOS;
  }
}

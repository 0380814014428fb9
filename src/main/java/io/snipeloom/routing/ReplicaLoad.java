package io.snipeloom.routing;

/**
 * The work that a replica has, as far as this instance knows.
 *
 * <p>Own requests are counted exactly; those of other instances are known from what the replica
 * reported with its last answer. Not thread-safe.
 */
public final class ReplicaLoad {
  /** After this time a report says nothing any more. */
  private static final long REPORT_LIFE_NANOS = 1_500_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private int inFlight;
  private long prefillTokens;
  private int othersRunning;
  private int reportedWaiting;
  private long reportedNanos = Long.MIN_VALUE / 2;

  /**
   * Counts a request that is sent.
   *
   * @param unreadTokens the prompt tokens that the replica has to read first
   */
  public void onSent(long unreadTokens) {
    inFlight++;
    prefillTokens += unreadTokens;
  }

  /**
   * Takes note that a prompt has been read.
   *
   * @param unreadTokens the tokens that were counted when the request was sent
   */
  public void onPrefillDone(long unreadTokens) {
    prefillTokens -= unreadTokens;
  }

  /** Counts a request that ended. */
  public void onEnded() {
    inFlight--;
  }

  /**
   * Takes a report of the replica.
   *
   * @param running the requests that it runs
   * @param waiting the requests that wait in it
   * @param nowNanos the time
   */
  public void onReport(int running, int waiting, long nowNanos) {
    othersRunning = Math.max(0, running - inFlight);
    reportedWaiting = waiting;
    reportedNanos = nowNanos;
  }

  /**
   * Returns the requests of this instance.
   *
   * @return the number
   */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Returns the prompt tokens of this instance that are still to be read.
   *
   * @return the tokens
   */
  public long prefillTokens() {
    return prefillTokens;
  }

  /**
   * Returns the requests of other instances that run.
   *
   * @param nowNanos the time
   * @return the number, 0 if the report is too old
   */
  public int othersRunning(long nowNanos) {
    return isReportFresh(nowNanos) ? othersRunning : 0;
  }

  /**
   * Returns the requests that wait in the replica.
   *
   * @param nowNanos the time
   * @return the number, 0 if the report is too old
   */
  public int waiting(long nowNanos) {
    return isReportFresh(nowNanos) ? reportedWaiting : 0;
  }

  /**
   * Returns the age of the last report.
   *
   * @param nowNanos the time
   * @return the age in milliseconds, -1 if there was none
   */
  public long reportAgeMillis(long nowNanos) {
    return reportedNanos < 0 ? -1 : (nowNanos - reportedNanos) / NANOS_PER_MILLI;
  }

  private boolean isReportFresh(long nowNanos) {
    return nowNanos - reportedNanos < REPORT_LIFE_NANOS;
  }
}

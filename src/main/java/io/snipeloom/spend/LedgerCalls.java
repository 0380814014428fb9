package io.snipeloom.spend;

/** When one partition of the ledger is called, one call at a time. Not thread-safe. */
final class LedgerCalls {
  /** The delay before the next call after one failed, which limits the load during an outage. */
  private static final long RETRY_DELAY_NANOS = 150_000_000L;

  /**
   * A call that takes longer than this is treated as stalled, since it may never complete. The
   * value is many times the usual response time.
   */
  private static final long SLOW_CALL_NANOS = 120_000_000L;

  private boolean inProgress;
  private boolean failed;
  private int conflicts;
  private long startNanos;
  private long latestNanos = Long.MIN_VALUE / 2;
  private long pausedUntilNanos = Long.MIN_VALUE / 2;

  /** Returns whether a call may start. The time is that of the call if it does. */
  boolean mayStart(long nowNanos) {
    latestNanos = Math.max(latestNanos, nowNanos);
    return !inProgress && nowNanos - pausedUntilNanos >= 0;
  }

  /**
   * Records that a call starts at the latest time passed to {@link #mayStart}. Callbacks pass on
   * the start time of their own call, which may be outdated when they start the next one. A call
   * that is made because of a conflict goes on with the one before.
   */
  void onStart() {
    inProgress = true;
    if (conflicts == 0) {
      startNanos = latestNanos;
    }
  }

  /** Records that the store responded to a call. */
  void onResponse() {
    inProgress = false;
    failed = false;
  }

  /** Records that a write was accepted. */
  void onAppended() {
    onResponse();
    conflicts = 0;
  }

  /** Records that a write was refused because another instance had written. */
  void onConflict() {
    onResponse();
    conflicts++;
  }

  /** Records that nothing is to be written, so that the next call goes on with none. */
  void onIdle() {
    conflicts = 0;
  }

  /** Records that a call failed, or that its outcome is unknown. */
  void onFailed(long nowNanos) {
    inProgress = false;
    failed = true;
    pausedUntilNanos = nowNanos + RETRY_DELAY_NANOS;
  }

  /** Returns how many writes in a row were refused because another instance had written. */
  int conflicts() {
    return conflicts;
  }

  boolean isInProgress() {
    return inProgress;
  }

  /** Returns whether the last call failed. */
  boolean hasFailed() {
    return failed;
  }

  /** Returns whether the current call, with those before it that met conflicts, takes too long. */
  boolean isSlow(long nowNanos) {
    return inProgress && nowNanos - startNanos > SLOW_CALL_NANOS;
  }
}

package io.snipeloom.store;

/**
 * Whether the store is available, by the outcomes of the calls to it.
 *
 * <p>A call without a response says that the store is away only if no other call had one shortly
 * before: otherwise the connections of that call are dead or slow. Not thread-safe.
 */
public final class StoreAvailability {
  /**
   * How long a response shows that the store is there. Less than a call waits until it fails, so
   * that the last responses before an outage don't hide it.
   */
  static final long EVIDENCE_NANOS = 1_000_000_000L;

  private boolean available = true;
  private boolean responded;
  private long lastResponseNanos;

  /** Returns whether the store is available. */
  public boolean isAvailable() {
    return available;
  }

  /**
   * Records the outcome of a call.
   *
   * @param nowNanos the current time
   * @return whether the store is available
   */
  public boolean onOutcome(StoreOutcome outcome, long nowNanos) {
    if (outcome.isStoreAvailable()) {
      responded = true;
      lastResponseNanos = nowNanos;
      available = true;
    } else if (outcome.hasResponse() || !hasRespondedLately(nowNanos)) {
      available = false;
    }
    return available;
  }

  private boolean hasRespondedLately(long nowNanos) {
    return responded && nowNanos - lastResponseNanos < EVIDENCE_NANOS;
  }
}

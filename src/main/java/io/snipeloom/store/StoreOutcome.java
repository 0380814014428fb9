package io.snipeloom.store;

/** The outcome of a call to the store. */
public enum StoreOutcome {
  /** The call succeeded. */
  DONE,
  /** Nothing was appended, because the partition does not end at the expected offset. */
  CONFLICT,
  /** The requested records are no longer retained. */
  EXPIRED,
  /** The call had no effect; the store rejected it or could not be reached. */
  REFUSED,
  /** No response was received; the call may have taken effect or may still do so. */
  UNKNOWN;

  /**
   * Returns whether the outcome shows that the store is available.
   *
   * @return true for {@link #DONE}, {@link #CONFLICT} and {@link #EXPIRED}
   */
  public boolean isStoreAvailable() {
    return this == DONE || this == CONFLICT || this == EXPIRED;
  }
}

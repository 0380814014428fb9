package io.snipeloom.store;

/** The outcome of a call to the store. */
public enum StoreOutcome {
  /** The call succeeded. */
  DONE,
  /** Nothing was appended, because the partition does not end at the expected offset. */
  CONFLICT,
  /** The requested records are no longer retained. */
  EXPIRED,
  /**
   * The store came back from an older copy of itself since the call was sent. What the call did, if
   * anything, rests on offsets that hold no longer.
   */
  REVERTED,
  /** The call had no effect; the store rejected it. */
  REFUSED,
  /** The call was not sent and had no effect; no connection was established in time. */
  UNREACHED,
  /** No response was received; the call may have taken effect or may still do so. */
  UNKNOWN;

  /**
   * Returns whether the outcome shows that the store is available.
   *
   * @return false for {@link #REFUSED} and the outcomes of calls without a response
   */
  public boolean isStoreAvailable() {
    return this != REFUSED && hasResponse();
  }

  /**
   * Returns whether the store responded.
   *
   * @return false for {@link #UNREACHED} and {@link #UNKNOWN}
   */
  public boolean hasResponse() {
    return this != UNREACHED && this != UNKNOWN;
  }
}

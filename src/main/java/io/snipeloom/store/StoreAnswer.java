package io.snipeloom.store;

/** How a call of the store ended. */
public enum StoreAnswer {
  /** Done. */
  DONE,
  /** Not done, since the partition does not end at the offset that was named. */
  CONFLICT,
  /** The records that were asked for are no longer kept. */
  EXPIRED,
  /** Not done; the store refused it or was not reached. */
  REFUSED,
  /** No answer; the call may have been carried out or may be later. */
  UNKNOWN;

  /**
   * Returns whether the store gave an answer that shows it in service.
   *
   * @return true if it did
   */
  public boolean isInService() {
    return this == DONE || this == CONFLICT || this == EXPIRED;
  }
}

package io.snipeloom.state;

/** How a request class is queued, shed and retried. */
public enum Urgency {
  /** A person waits for the first token. */
  PROMPT(1, true),
  /** Long work that can wait and is shed first. */
  CAN_WAIT(2, true),
  /** A call that runs at most once. */
  NOT_REPEATABLE(0, false),
  /** A short idempotent read. */
  LOOKUP(0, true);

  private final int rank;
  private final boolean repeatable;

  Urgency(int rank, boolean repeatable) {
    this.rank = rank;
    this.repeatable = repeatable;
  }

  /**
   * Returns the rank in a queue.
   *
   * @return the rank; lower is served first and shed last
   */
  public int rank() {
    return rank;
  }

  /**
   * Returns whether a second run is harmless.
   *
   * @return true if the request may run more than once
   */
  public boolean isRepeatable() {
    return repeatable;
  }
}

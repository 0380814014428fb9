package io.snipeloom.state;

/** Determines how the requests of a class are queued, shed and retried. */
public enum Urgency {
  /** Interactive requests, where a person waits for the first token. */
  PROMPT(1, true),
  /** Long-running background requests, which are shed first. */
  CAN_WAIT(2, true),
  /** Calls that are not idempotent and must run at most once. */
  NOT_REPEATABLE(0, false),
  /** Short idempotent reads. */
  LOOKUP(0, true);

  private final int rank;
  private final boolean repeatable;

  Urgency(int rank, boolean repeatable) {
    this.rank = rank;
    this.repeatable = repeatable;
  }

  /** Returns the priority in a queue; requests with a lower rank are served first and shed last. */
  public int rank() {
    return rank;
  }

  /** Returns whether a request is idempotent and may therefore run more than once. */
  public boolean isRepeatable() {
    return repeatable;
  }
}

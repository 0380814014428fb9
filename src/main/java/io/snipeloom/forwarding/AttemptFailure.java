package io.snipeloom.forwarding;

/** How an attempt at a replica failed, and whether the request may have run there. */
enum AttemptFailure {
  /** No connection came about, so nothing was sent. */
  NOT_CONNECTED(false),
  /** The replica says that it did not run the request. */
  NOT_EXECUTED(false),
  /** The replica answered with an error of its own. */
  ERROR_ANSWER(true),
  /** The connection ended before the answer was complete, or the answer was unusable. */
  BROKEN(true),
  /** The replica was silent for too long. */
  SILENT(true);

  private final boolean mayHaveRun;

  AttemptFailure(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Returns whether the request may have run. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the replica got the request. */
  boolean arrived() {
    return this != NOT_CONNECTED;
  }
}

package io.snipeloom.forwarding;

/**
 * The outcome of a call that is made again, on new connections, while the peer is silent.
 *
 * <p>The call has failed only once all tries have. If a later one is answered, the peer is there
 * and only the connections of those before it are dead, and so may be those opened earlier. Not
 * thread-safe.
 */
final class RepeatedCall {
  private final int maxTries;
  private int tries = 1;
  private int openTries = 1;
  private boolean sent;
  private boolean done;

  /**
   * Creates the outcome of a call of which the first try is open.
   *
   * @param maxTries the most tries, the first one included
   */
  RepeatedCall(int maxTries) {
    this.maxTries = maxTries;
  }

  /** Records that the response is overdue; returns whether the call is to be made once more. */
  boolean onOverdue() {
    if (done || tries == maxTries) {
      return false;
    }
    tries++;
    openTries++;
    return true;
  }

  /** Records a whole response; returns whether it is the first, which counts. */
  boolean onResponse() {
    boolean first = !done;
    done = true;
    return first;
  }

  /**
   * Records that a try failed.
   *
   * @param mayHaveArrived whether the peer may have received it
   * @return whether the call has failed, since no other try is open
   */
  boolean onFailed(boolean mayHaveArrived) {
    sent |= mayHaveArrived;
    openTries--;
    boolean failed = !done && openTries == 0;
    done |= failed;
    return failed;
  }

  /** Returns the number of tries that were made. */
  int tries() {
    return tries;
  }

  /** Returns whether the call was answered or has failed. */
  boolean isDone() {
    return done;
  }

  /** Returns whether the peer may have received the call. */
  boolean isSent() {
    return sent;
  }
}

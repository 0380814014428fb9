package io.snipeloom.forwarding;

/**
 * The outcome of a call that is made once more, on a new connection, if the peer is silent.
 *
 * <p>The call has failed only once both tries have. If the second one is answered, the peer is
 * there and only the connection of the first is dead, and so may be those opened before it. Not
 * thread-safe.
 */
final class RepeatedCall {
  private int openTries = 1;
  private boolean repeated;
  private boolean sent;
  private boolean done;

  /** Records that the response is overdue; returns whether the call is to be made once more. */
  boolean onOverdue() {
    if (done || repeated) {
      return false;
    }
    repeated = true;
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

  /** Returns whether the peer may have received the call. */
  boolean isSent() {
    return sent;
  }
}

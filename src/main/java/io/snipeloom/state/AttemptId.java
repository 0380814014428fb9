package io.snipeloom.state;

/**
 * Identifies one attempt at a request.
 *
 * @param holder the router incarnation that made the attempt and holds the tokens charged for it
 * @param sequence a number, from 1, that the router incarnation uses for only one attempt
 */
public record AttemptId(Incarnation holder, long sequence) {

  /** Checks the components. */
  public AttemptId {
    RecordChecks.requirePresent("attempt", holder);
    RecordChecks.require(sequence >= 1, "attempt", "sequence must be at least 1");
  }

  /**
   * Returns the identifier of an attempt.
   *
   * @param sequence the number of the attempt, from 1
   */
  public static AttemptId of(Incarnation holder, long sequence) {
    return new AttemptId(holder, sequence);
  }
}

package io.snipeloom.state;

/**
 * Identifies one attempt at a request: the router incarnation that made it and a number that this
 * incarnation never uses twice.
 *
 * @param holder the router incarnation, which also holds the claim that pays for the attempt
 * @param sequence a number of this incarnation, from 1
 */
public record AttemptId(Incarnation holder, long sequence) {

  /** Checks the parts. */
  public AttemptId {
    RecordChecks.present("attempt", holder);
    RecordChecks.require(sequence >= 1, "attempt", "sequence must be at least 1");
  }

  /**
   * Returns the attempt with this number.
   *
   * @param holder the router incarnation
   * @param sequence the number, from 1
   * @return the attempt
   */
  public static AttemptId of(Incarnation holder, long sequence) {
    return new AttemptId(holder, sequence);
  }
}

package io.snipeloom.spend;

import java.util.concurrent.TimeUnit;

/**
 * What one incarnation has claimed of the tokens of one customer, as a total of its own. Only that
 * incarnation changes it, and each change has a higher sequence number, so that of several versions
 * of a part the newest is known.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id identifies the part among all parts of the customer; never used again
 * @param sequence the number of the change, which rises with each
 * @param tokens the tokens claimed less those returned; negative if more were returned
 * @param changedMillis the time of the change, in Unix milliseconds by the clock of the incarnation
 */
public record ClaimPart(long id, long sequence, long tokens, long changedMillis) {
  /**
   * How long a part is told to others and merged with what they know: many times the age of a copy
   * from which the store comes back, and more than clocks differ.
   */
  static final long MEMORY_MILLIS = TimeUnit.MINUTES.toMillis(5);

  /** Returns the part after a further change. */
  ClaimPart changed(long newSequence, long change, long nowMillis) {
    return new ClaimPart(id, newSequence, tokens + change, nowMillis);
  }

  /**
   * Returns whether the part was changed so lately that a copy of the store may lack the change.
   */
  boolean isRecent(long nowMillis) {
    return nowMillis - changedMillis < MEMORY_MILLIS;
  }
}

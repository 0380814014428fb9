package io.snipeloom.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;

/**
 * The faults that a stand-in shows.
 *
 * <p>Immutable; starts from {@link #none} and is refined with the {@code with} methods.
 *
 * @param delayMillis the delay before a request is handled
 * @param answerDelayMillis the delay between the effect of a request and its answer
 * @param down whether all connections are closed and new ones refused
 * @param silent whether all connections swallow what they receive; a connection that swallowed
 *     bytes stays silent for good
 * @param loseAnswerAfterWrite how many of the next writes take effect but lose their answer
 * @param loseAnswerProbability the share of the writes after these that lose their answer
 * @param seed the seed of the random choice
 * @param lagMillis the time until a change, a load report or a cache event is visible
 * @param retain the records that each stream of the log keeps; 0 for all
 * @param gapEvery every how many cache events one is lost; 0 for none
 */
@JsonInclude(JsonInclude.Include.ALWAYS)
public record Faults(
    long delayMillis,
    long answerDelayMillis,
    boolean down,
    boolean silent,
    int loseAnswerAfterWrite,
    double loseAnswerProbability,
    long seed,
    long lagMillis,
    int retain,
    int gapEvery) {
  private static final Faults NONE = new Faults(0, 0, false, false, 0, 0, 0, 0, 0, 0);
  private static final long MAX_DELAY_MILLIS = 3_600_000;

  /** Checks the ranges. */
  public Faults {
    checkRange("delayMillis", delayMillis, MAX_DELAY_MILLIS);
    checkRange("answerDelayMillis", answerDelayMillis, MAX_DELAY_MILLIS);
    checkRange("lagMillis", lagMillis, MAX_DELAY_MILLIS);
    checkRange("loseAnswerAfterWrite", loseAnswerAfterWrite, Integer.MAX_VALUE);
    checkRange("retain", retain, Integer.MAX_VALUE);
    checkRange("gapEvery", gapEvery, Integer.MAX_VALUE);
    if (!(loseAnswerProbability >= 0 && loseAnswerProbability <= 1)) {
      throw invalid("loseAnswerProbability", "between 0 and 1");
    }
  }

  /**
   * Returns the state without faults.
   *
   * @return no faults
   */
  public static Faults none() {
    return NONE;
  }

  /**
   * Returns a copy with a delay before each request is handled.
   *
   * @param millis the delay
   * @return the copy
   */
  public Faults withDelayMillis(long millis) {
    return new Faults(
        millis,
        answerDelayMillis,
        down,
        silent,
        loseAnswerAfterWrite,
        loseAnswerProbability,
        seed,
        lagMillis,
        retain,
        gapEvery);
  }

  /**
   * Returns a copy with a delay between effect and answer.
   *
   * @param millis the delay
   * @return the copy
   */
  public Faults withAnswerDelayMillis(long millis) {
    return new Faults(
        delayMillis,
        millis,
        down,
        silent,
        loseAnswerAfterWrite,
        loseAnswerProbability,
        seed,
        lagMillis,
        retain,
        gapEvery);
  }

  /**
   * Returns a copy that closes and refuses connections, or no longer.
   *
   * @param isDown whether the stand-in is down
   * @return the copy
   */
  public Faults withDown(boolean isDown) {
    return new Faults(
        delayMillis,
        answerDelayMillis,
        isDown,
        silent,
        loseAnswerAfterWrite,
        loseAnswerProbability,
        seed,
        lagMillis,
        retain,
        gapEvery);
  }

  /**
   * Returns a copy that swallows what connections receive, or no longer.
   *
   * @param isSilent whether the stand-in is silent
   * @return the copy
   */
  public Faults withSilent(boolean isSilent) {
    return new Faults(
        delayMillis,
        answerDelayMillis,
        down,
        isSilent,
        loseAnswerAfterWrite,
        loseAnswerProbability,
        seed,
        lagMillis,
        retain,
        gapEvery);
  }

  /**
   * Returns a copy in which the next writes lose their answers.
   *
   * @param count the number of writes
   * @return the copy
   */
  public Faults withLostAnswers(int count) {
    return new Faults(
        delayMillis,
        answerDelayMillis,
        down,
        silent,
        count,
        loseAnswerProbability,
        seed,
        lagMillis,
        retain,
        gapEvery);
  }

  /**
   * Returns a copy in which writes lose their answers at random.
   *
   * @param probability the share of the writes
   * @param newSeed the seed of the choice
   * @return the copy
   */
  public Faults withLostAnswers(double probability, long newSeed) {
    return new Faults(
        delayMillis,
        answerDelayMillis,
        down,
        silent,
        loseAnswerAfterWrite,
        probability,
        newSeed,
        lagMillis,
        retain,
        gapEvery);
  }

  /**
   * Returns a copy with another lag.
   *
   * @param millis the time until a change is visible
   * @return the copy
   */
  public Faults withLagMillis(long millis) {
    return new Faults(
        delayMillis,
        answerDelayMillis,
        down,
        silent,
        loseAnswerAfterWrite,
        loseAnswerProbability,
        seed,
        millis,
        retain,
        gapEvery);
  }

  /**
   * Returns a copy with another retention.
   *
   * @param records the records that each stream keeps; 0 for all
   * @return the copy
   */
  public Faults withRetain(int records) {
    return new Faults(
        delayMillis,
        answerDelayMillis,
        down,
        silent,
        loseAnswerAfterWrite,
        loseAnswerProbability,
        seed,
        lagMillis,
        records,
        gapEvery);
  }

  /**
   * Returns a copy that loses cache events.
   *
   * @param events every how many events one is lost; 0 for none
   * @return the copy
   */
  public Faults withGapEvery(int events) {
    return new Faults(
        delayMillis,
        answerDelayMillis,
        down,
        silent,
        loseAnswerAfterWrite,
        loseAnswerProbability,
        seed,
        lagMillis,
        retain,
        events);
  }

  private static void checkRange(String field, long value, long max) {
    if (value < 0 || value > max) {
      throw invalid(field, "between 0 and " + max);
    }
  }

  private static SnipeloomException invalid(String field, String range) {
    return SnipeloomException.of(ErrorCode.INVALID_REQUEST, "/" + field + " must be " + range);
  }
}

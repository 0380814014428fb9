package io.snipeloom.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;

/**
 * The faults that a stand-in simulates.
 *
 * <p>Immutable. Start from {@link #none} and use the {@code with} methods to add faults.
 *
 * @param delayMillis the delay before a request is handled, in milliseconds
 * @param answerDelayMillis the delay between the effect of a request and its response, in
 *     milliseconds
 * @param down whether open connections are closed and new ones are closed on accept
 * @param silent whether all connections discard their traffic in both directions; a connection that
 *     has discarded bytes keeps doing so until it closes
 * @param loseAnswerAfterWrite the number of next writes that take effect but whose responses are
 *     dropped
 * @param loseAnswerProbability the probability, between 0 and 1, that the response to a later write
 *     is dropped
 * @param seed the seed of the random choice of dropped responses
 * @param lagMillis the delay until a change of the instance list, a load report or a cache event
 *     becomes visible, in milliseconds
 * @param retain the number of latest records that each stream of the log retains; 0 for all
 * @param gapEvery every n-th cache event is dropped, where n is this value; 0 for none
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

  /** Validates the ranges. */
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

  /** Returns the configuration that simulates no faults. */
  public static Faults none() {
    return NONE;
  }

  /**
   * Returns a copy with a delay before each request is handled.
   *
   * @param millis the delay in milliseconds
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
   * Returns a copy with a delay between the effect of a request and its response.
   *
   * @param millis the delay in milliseconds
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
   * Returns a copy that is down or not: a stand-in that is down closes open and new connections.
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
   * Returns a copy that is silent or not: a silent stand-in discards the traffic of all
   * connections.
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
   * Returns a copy that drops the responses to the next writes.
   *
   * @param count the number of writes
   */
  public Faults withDroppedResponses(int count) {
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
   * Returns a copy that drops the responses to randomly chosen writes.
   *
   * @param probability the probability, between 0 and 1, that a response is dropped
   * @param newSeed the seed of the random choice
   */
  public Faults withDroppedResponses(double probability, long newSeed) {
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
   * @param millis the delay until a change becomes visible, in milliseconds
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
   * @param records the number of latest records that each stream retains; 0 for all
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
   * Returns a copy that drops cache events.
   *
   * @param events every n-th event is dropped, where n is this value; 0 for none
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

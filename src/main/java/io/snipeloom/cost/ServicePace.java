package io.snipeloom.cost;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * What is usual at a service: the time to the first event by the prompt tokens ahead, the time of
 * an output token by the requests that run beside it, and the time of a request without a prompt by
 * route. Learned from observations from which the pace of the replica is taken out. Not
 * thread-safe.
 */
public final class ServicePace {
  /** The most routes whose work is told apart; further ones are not learned. */
  private static final int MAX_ROUTES = 256;

  private static final double MIN_MILLIS = 0.01;

  private final LinearFit firstEvent = new LinearFit();
  private final LinearFit outputToken = new LinearFit();
  private final LinearFit meanOutputToken = new LinearFit();
  private final Map<String, LinearFit> work = new HashMap<>();

  /**
   * Records a first event. It doesn't show the pace: the prompts of others that arrive meanwhile
   * delay it too.
   *
   * @param tokensAhead the prompt tokens that the replica had to process before it
   * @param millis the time until it came, in milliseconds
   * @param pace the pace of the replica
   */
  public void onFirstEvent(double tokensAhead, double millis, double pace) {
    firstEvent.record(tokensAhead, millis / pace);
  }

  /**
   * Records output while no prompt was processed.
   *
   * @param running the number of requests that ran at the replica
   * @param millisPerToken the time that each token took, in milliseconds
   * @param pace the pace of the replica
   * @return the time by the usual one, empty if that is not known
   */
  public OptionalDouble onOutput(double running, double millisPerToken, double pace) {
    return record(outputToken, running, millisPerToken, pace);
  }

  /**
   * Records output with the pauses in which the replica processed prompts.
   *
   * @param running the number of requests that ran at the replica
   * @param millisPerToken the mean time of a token, in milliseconds
   * @param pace the pace of the replica
   */
  public void onMeanOutput(double running, double millisPerToken, double pace) {
    meanOutputToken.record(running, millisPerToken / pace);
  }

  /**
   * Records a request without a prompt.
   *
   * @param route the name of the route
   * @param running the number of requests at the replica when it was sent
   * @param millis the time until its response, in milliseconds
   * @param pace the pace of the replica
   * @return the time by the usual one, empty if that is not known
   */
  public OptionalDouble onWork(String route, double running, double millis, double pace) {
    if (work.size() >= MAX_ROUTES && !work.containsKey(route)) {
      return OptionalDouble.empty();
    }
    return record(work.computeIfAbsent(route, name -> new LinearFit()), running, millis, pace);
  }

  private static OptionalDouble record(LinearFit fit, double x, double millis, double pace) {
    OptionalDouble ratio =
        fit.isKnown()
            ? OptionalDouble.of(Math.max(MIN_MILLIS, millis) / Math.max(MIN_MILLIS, fit.valueAt(x)))
            : OptionalDouble.empty();
    fit.record(x, millis / pace);
    return ratio;
  }

  /** Returns whether enough was observed to predict how model requests are served. */
  public boolean isKnown() {
    return firstEvent.isKnown() && outputToken.isKnown();
  }

  /** Returns the time to the first event, in milliseconds. */
  public double firstEventMillis(double tokensAhead) {
    return firstEvent.valueAt(tokensAhead);
  }

  /** Returns the time of an output token with the pauses for prompts, in milliseconds. */
  public double outputTokenMillis(double running) {
    return meanOutputToken.valueAt(running);
  }

  /**
   * Returns by how many prompt tokens each output token of one more running request delays a
   * replica; 0 while that is not known.
   */
  public double promptTokensPerOutputToken() {
    double millisPerPromptToken = firstEvent.slope();
    return isKnown() && millisPerPromptToken > 0 ? outputToken.slope() / millisPerPromptToken : 0;
  }
}

package io.snipeloom.load;

import io.snipeloom.routing.Prompt;
import java.util.function.IntConsumer;

/** A replica in simulated time. */
interface SimulatedEngine {

  /** The simulated time. */
  interface Clock {

    /** Returns the current time, in nanoseconds. */
    long now();

    /** Runs an action later. */
    void at(long atNanos, Runnable action);
  }

  /**
   * Runs a request.
   *
   * @param prompt the prompt
   * @param outputTokens the output
   * @param onEvents receives the number of events so far, with each one
   * @param onEnd called at the end
   */
  void submit(Prompt prompt, int outputTokens, IntConsumer onEvents, Runnable onEnd);

  /** Returns the number of requests that run. */
  int running();

  /** Returns the number of requests that wait. */
  int waiting();

  /** Returns how long work takes on the host now, in percent of what is usual there. */
  int pacePercent();

  /** Returns the time that the work takes which is to be done, in milliseconds. */
  double remainingMillis();

  /** Returns whether a part is cached. */
  boolean isCached(String part);
}

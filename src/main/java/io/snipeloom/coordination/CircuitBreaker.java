package io.snipeloom.coordination;

import io.snipeloom.state.Urgency;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Stops sending requests to a back end that keeps failing, and probes it later with single
 * repeatable requests.
 *
 * <p>Thread-safe. Call {@link #allows} when choosing a back end, {@link #tryStart} before sending
 * an attempt, and one of {@link #onSuccess}, {@link #onFailure} and {@link #onAbandoned} when the
 * attempt has ended.
 */
public final class CircuitBreaker {
  /** The number of consecutive failures that opens the circuit. */
  static final int FAILURE_THRESHOLD = 5;

  /** The upper bound of the first open time; it doubles with each consecutive opening. */
  static final Duration INITIAL_MAX_OPEN = Duration.ofMillis(500);

  /** The upper bound of any open time. */
  static final Duration MAX_OPEN = Duration.ofSeconds(5);

  /** The states of a circuit breaker. */
  public enum State {
    CLOSED,
    OPEN,
    HALF_OPEN
  }

  private volatile State state = State.CLOSED;
  private volatile long probeDueNanos;
  private int consecutiveFailures;
  private int consecutiveOpenings;

  /** Creates a circuit breaker in the closed state. */
  public CircuitBreaker() {}

  /** Returns the current state. */
  public State state() {
    return state;
  }

  /**
   * Returns whether a request of this urgency may be sent, without claiming the probe.
   *
   * @param nowNanos the current time in nanoseconds
   * @return true if the circuit is closed, or if the request may serve as the probe
   */
  public boolean allows(Urgency urgency, long nowNanos) {
    return switch (state) {
      case CLOSED -> true;
      case OPEN -> urgency.isRepeatable() && nowNanos - probeDueNanos >= 0;
      case HALF_OPEN -> false;
    };
  }

  /**
   * Claims the right to send one request. If the circuit is open and its open time has passed, the
   * request becomes the only probe.
   *
   * @param nowNanos the current time in nanoseconds
   * @return false if the request must be sent to another back end
   */
  public synchronized boolean tryStart(Urgency urgency, long nowNanos) {
    if (!allows(urgency, nowNanos)) {
      return false;
    }
    if (state == State.OPEN) {
      state = State.HALF_OPEN;
    }
    return true;
  }

  /**
   * Records an answer, including one that rejects the request because of an error of the caller.
   * Closes the circuit.
   */
  public synchronized void onSuccess() {
    state = State.CLOSED;
    consecutiveFailures = 0;
    consecutiveOpenings = 0;
  }

  /**
   * Records a failure of the back end.
   *
   * @param nowNanos the current time in nanoseconds
   * @param random the source of jitter
   */
  public synchronized void onFailure(long nowNanos, RandomGenerator random) {
    consecutiveFailures++;
    if (state == State.OPEN) {
      return;
    }
    if (state == State.HALF_OPEN || consecutiveFailures >= FAILURE_THRESHOLD) {
      open(nowNanos, random);
    }
  }

  /**
   * Records that an attempt ended without showing whether the back end works, for example because
   * its caller disconnected. If the attempt was the probe, another probe is due immediately.
   *
   * @param nowNanos the current time in nanoseconds
   */
  public synchronized void onAbandoned(long nowNanos) {
    if (state == State.HALF_OPEN) {
      state = State.OPEN;
      probeDueNanos = nowNanos;
    }
  }

  /** Closes the circuit because the back end was replaced. */
  public synchronized void reset() {
    onSuccess();
  }

  private void open(long nowNanos, RandomGenerator random) {
    long maxOpenNanos =
        Math.min(
            MAX_OPEN.toNanos(), INITIAL_MAX_OPEN.toNanos() << Math.min(consecutiveOpenings, 10));
    consecutiveOpenings++;
    probeDueNanos = nowNanos + maxOpenNanos / 2 + random.nextLong(maxOpenNanos / 2 + 1);
    state = State.OPEN;
  }
}

package io.snipeloom.coordination;

import io.snipeloom.state.Urgency;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Stops new work to a back end that keeps failing and tries it again with single repeatable
 * requests.
 *
 * <p>Thread-safe. Call {@link #allows} when choosing, {@link #tryStart} before sending, and one of
 * {@link #onSuccess}, {@link #onFailure} and {@link #onAbandoned} when the attempt has ended.
 */
public final class CircuitBreaker {
  /** The consecutive failures that open the circuit. */
  static final int FAILURE_THRESHOLD = 5;

  /** The shortest time for which the circuit stays open. */
  static final Duration MIN_OPEN = Duration.ofMillis(500);

  /** The longest time for which the circuit stays open. */
  static final Duration MAX_OPEN = Duration.ofSeconds(5);

  /** The states of a circuit. */
  public enum State {
    CLOSED,
    OPEN,
    HALF_OPEN
  }

  private volatile State state = State.CLOSED;
  private volatile long reopenAtNanos;
  private int failures;
  private int openings;

  /** Creates a closed circuit. */
  public CircuitBreaker() {}

  /**
   * Returns the state.
   *
   * @return the state
   */
  public State state() {
    return state;
  }

  /**
   * Returns whether a request of this urgency may be sent.
   *
   * @param urgency the urgency of the request
   * @param nowNanos the present time in nanoseconds
   * @return true if closed, or if the request may serve as the trial
   */
  public boolean allows(Urgency urgency, long nowNanos) {
    return switch (state) {
      case CLOSED -> true;
      case OPEN -> urgency.isRepeatable() && nowNanos - reopenAtNanos >= 0;
      case HALF_OPEN -> false;
    };
  }

  /**
   * Takes the right to send one request; in an open circuit that is due, the request becomes the
   * only trial.
   *
   * @param urgency the urgency of the request
   * @param nowNanos the present time in nanoseconds
   * @return false if the request must go elsewhere
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

  /** Notes an answer, also one that refuses the request for a reason of the caller's. */
  public synchronized void onSuccess() {
    state = State.CLOSED;
    failures = 0;
    openings = 0;
  }

  /**
   * Notes a failure of the back end.
   *
   * @param nowNanos the present time in nanoseconds
   * @param random the source of jitter
   */
  public synchronized void onFailure(long nowNanos, RandomGenerator random) {
    failures++;
    if (state == State.OPEN) {
      return;
    }
    if (state == State.HALF_OPEN || failures >= FAILURE_THRESHOLD) {
      open(nowNanos, random);
    }
  }

  /**
   * Notes that an attempt ended without showing whether the back end works, such as when its caller
   * went away. A trial that ends so is due again at once.
   *
   * @param nowNanos the present time in nanoseconds
   */
  public synchronized void onAbandoned(long nowNanos) {
    if (state == State.HALF_OPEN) {
      state = State.OPEN;
      reopenAtNanos = nowNanos;
    }
  }

  /** Closes the circuit, for a back end that was replaced. */
  public synchronized void reset() {
    onSuccess();
  }

  private void open(long nowNanos, RandomGenerator random) {
    long most = Math.min(MAX_OPEN.toNanos(), MIN_OPEN.toNanos() << Math.min(openings, 10));
    openings++;
    reopenAtNanos = nowNanos + most / 2 + random.nextLong(most / 2 + 1);
    state = State.OPEN;
  }
}

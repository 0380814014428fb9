package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.snipeloom.state.Urgency;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CircuitBreakerTest {
  private static final long LATER = CircuitBreaker.MAX_OPEN.toNanos();

  private final SplittableRandom random = new SplittableRandom(7);

  private CircuitBreaker opened() {
    CircuitBreaker circuit = new CircuitBreaker();
    for (int i = 0; i < CircuitBreaker.FAILURE_THRESHOLD; i++) {
      assertThat(circuit.state(), is(CircuitBreaker.State.CLOSED));
      circuit.onFailure(0, random);
    }
    return circuit;
  }

  @Test
  void opensAfterConsecutiveFailuresAndRefusesAll() {
    CircuitBreaker circuit = opened();
    for (Urgency urgency : Urgency.values()) {
      assertThat(circuit.tryStart(urgency, 0), is(false));
    }
  }

  @Test
  void halfOpenTrialUsesRepeatableRequestsOnly() {
    CircuitBreaker circuit = opened();
    assertThat(circuit.tryStart(Urgency.NOT_REPEATABLE, LATER), is(false));
    assertThat(circuit.tryStart(Urgency.LOOKUP, LATER), is(true));
    assertThat(circuit.state(), is(CircuitBreaker.State.HALF_OPEN));
  }

  @Test
  void halfOpenAdmitsOneTrialAtOnce() {
    CircuitBreaker circuit = opened();
    assertThat(circuit.tryStart(Urgency.PROMPT, LATER), is(true));
    assertThat(circuit.tryStart(Urgency.PROMPT, LATER), is(false));
    circuit.onAbandoned(LATER);
    assertThat(circuit.tryStart(Urgency.PROMPT, LATER), is(true));
    circuit.onSuccess();
    assertThat(circuit.tryStart(Urgency.NOT_REPEATABLE, LATER), is(true));
  }

  @Test
  void failedTrialOpensAgain() {
    CircuitBreaker circuit = opened();
    assertThat(circuit.tryStart(Urgency.PROMPT, LATER), is(true));
    circuit.onFailure(LATER, random);
    assertThat(circuit.tryStart(Urgency.PROMPT, LATER), is(false));
    assertThat(circuit.tryStart(Urgency.PROMPT, 2 * LATER), is(true));
  }
}

package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.snipeloom.state.Urgency;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CircuitBreakerTest {
  private static final long MAX_OPEN_NANOS = CircuitBreaker.MAX_OPEN.toNanos();

  private final SplittableRandom random = new SplittableRandom(7);

  private CircuitBreaker openCircuit() {
    CircuitBreaker circuit = new CircuitBreaker();
    for (int i = 0; i < CircuitBreaker.FAILURE_THRESHOLD; i++) {
      assertThat(circuit.state(), is(CircuitBreaker.State.CLOSED));
      circuit.onFailure(0, random);
    }
    return circuit;
  }

  @Test
  void opensAfterConsecutiveFailuresAndRefusesAllRequests() {
    CircuitBreaker circuit = openCircuit();
    for (Urgency urgency : Urgency.values()) {
      assertThat(circuit.tryStart(urgency, 0), is(false));
    }
  }

  @Test
  void onlyRepeatableRequestMayBeTrial() {
    CircuitBreaker circuit = openCircuit();
    assertThat(circuit.tryStart(Urgency.NOT_REPEATABLE, MAX_OPEN_NANOS), is(false));
    assertThat(circuit.tryStart(Urgency.LOOKUP, MAX_OPEN_NANOS), is(true));
    assertThat(circuit.state(), is(CircuitBreaker.State.HALF_OPEN));
  }

  @Test
  void halfOpenCircuitAdmitsSingleTrial() {
    CircuitBreaker circuit = openCircuit();
    assertThat(circuit.tryStart(Urgency.PROMPT, MAX_OPEN_NANOS), is(true));
    assertThat(circuit.tryStart(Urgency.PROMPT, MAX_OPEN_NANOS), is(false));
    circuit.onAbandoned(MAX_OPEN_NANOS);
    assertThat(circuit.tryStart(Urgency.PROMPT, MAX_OPEN_NANOS), is(true));
    circuit.onSuccess();
    assertThat(circuit.tryStart(Urgency.NOT_REPEATABLE, MAX_OPEN_NANOS), is(true));
  }

  @Test
  void failedTrialReopensCircuit() {
    CircuitBreaker circuit = openCircuit();
    assertThat(circuit.tryStart(Urgency.PROMPT, MAX_OPEN_NANOS), is(true));
    circuit.onFailure(MAX_OPEN_NANOS, random);
    assertThat(circuit.tryStart(Urgency.PROMPT, MAX_OPEN_NANOS), is(false));
    assertThat(circuit.tryStart(Urgency.PROMPT, 2 * MAX_OPEN_NANOS), is(true));
  }
}

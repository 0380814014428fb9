package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RequestClass;
import io.snipeloom.state.RequestClassId;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.Urgency;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
  private static final int CONCURRENCY_LIMIT = 8;
  private static final int QUEUE_LIMIT = 20;

  private final VirtualClock clock = new VirtualClock();
  private final AdmissionQueue queue = queue(100);

  private AdmissionQueue queue(int totalQueue) {
    return AdmissionQueue.of(
        FakeLink.UPSTREAM, CONCURRENCY_LIMIT, totalQueue, clock, new MetricRegistry());
  }

  private static RequestClass requestClass(Urgency urgency) {
    return new RequestClass(
        RequestClassId.of(urgency.name()), urgency, FakeLink.UPSTREAM, null, 1, 0, 0, QUEUE_LIMIT);
  }

  private Admission offer(AdmissionQueue queue, String customer, Urgency urgency, long seconds) {
    return queue.offer(
        new AdmissionRequest(
            CustomerId.of(customer),
            requestClass(urgency),
            1,
            clock.getAsLong() + seconds * VirtualClock.SECOND));
  }

  private Admission offer(String customer, Urgency urgency) {
    return offer(queue, customer, urgency, 600);
  }

  private List<Admission> fill(AdmissionQueue queue) {
    List<Admission> granted = new ArrayList<>();
    while (true) {
      Admission next = offer(queue, "filler", Urgency.LOOKUP, 600);
      if (next.decision() != Admission.Decision.GRANTED) {
        next.release();
        return granted;
      }
      granted.add(next);
    }
  }

  private static SnipeloomException refusal(Admission admission) {
    assertThat("admission is already refused", isDone(admission), is(true));
    CompletionException error =
        assertThrows(
            CompletionException.class, () -> admission.granted().toCompletableFuture().join());
    assertThat(error.getCause(), is(instanceOf(SnipeloomException.class)));
    return (SnipeloomException) error.getCause();
  }

  private static boolean isDone(Admission admission) {
    return admission.granted().toCompletableFuture().isDone();
  }

  @Test
  void releaseAdmitsNextRequestAndIsIdempotent() {
    List<Admission> granted = fill(queue);
    Admission first = offer("a", Urgency.LOOKUP);
    final Admission second = offer("a", Urgency.LOOKUP);
    granted.get(0).release();
    granted.get(0).release();
    assertThat(isDone(first), is(true));
    assertThat(isDone(second), is(false));
    assertThat(queue.inFlight(), is(granted.size()));
  }

  @Test
  void refusesImmediatelyWhenDeadlineCannotBeMet() {
    fill(queue);
    for (int i = 0; i < 10; i++) {
      offer("a", Urgency.LOOKUP);
    }
    Admission late = offer(queue, "a", Urgency.PROMPT, 1);
    assertThat(late.decision(), is(Admission.Decision.REFUSED));
    SnipeloomException refusal = refusal(late);
    assertThat(refusal.code(), is(ErrorCode.OVERLOADED));
    assertThat(refusal.runState(), is(RunState.NOT_RUN));
    assertThat(refusal.retryAfterMillis(), is(greaterThan(1_000L)));
  }

  @Test
  void sweepRefusesQueuedRequestBeforeItsDeadlineWhenNoSlotIsReleased() {
    fill(queue);
    Admission waiting = offer(queue, "a", Urgency.PROMPT, 60);
    clock.runEvery(AdmissionQueue.SWEEP_PERIOD.toNanos(), queue::sweep);
    clock.runUntil(35 * VirtualClock.SECOND);
    assertThat(refusal(waiting).code(), is(ErrorCode.OVERLOADED));
  }

  @Test
  void refusesImmediatelyWhileNoBackEndIsUsable() {
    queue.setLimit(0);
    assertThat(refusal(offer("a", Urgency.PROMPT)).code(), is(ErrorCode.NO_UPSTREAM));
  }

  @Test
  void canWaitRequestsAreShedFirst() {
    AdmissionQueue small = queue(4);
    fill(small);
    List<Admission> shed = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      shed.add(offer(small, "a", Urgency.CAN_WAIT, 600));
    }
    assertThat(offer(small, "b", Urgency.CAN_WAIT, 600).decision(), is(Admission.Decision.REFUSED));
    for (int i = 0; i < 4; i++) {
      Admission urgent = offer(small, "b", Urgency.PROMPT, 600);
      assertThat(urgent.decision(), is(Admission.Decision.QUEUED));
    }
    shed.forEach(admission -> assertThat(refusal(admission).code(), is(ErrorCode.OVERLOADED)));
  }

  @Test
  void canWaitRequestGetsEverySixteenthTurnUnderUrgentLoad() {
    ArrayDeque<Admission> running = new ArrayDeque<>(fill(queue));
    Map<String, Integer> served = new HashMap<>();
    countWhenGranted(served, "can-wait", offer("a", Urgency.CAN_WAIT), running);
    for (int i = 0; i <= AdmissionQueue.YIELD_PERIOD; i++) {
      assertThat(served.containsKey("can-wait"), is(i == AdmissionQueue.YIELD_PERIOD));
      countWhenGranted(served, "urgent", offer("b", Urgency.LOOKUP), running);
      running.poll().release();
    }
  }

  @Test
  void largeCustomerCannotStarveTenSmallCustomers() {
    ArrayDeque<Admission> running = new ArrayDeque<>(fill(queue));
    Map<String, Integer> served = new HashMap<>();
    for (int round = 0; round < 2_000; round++) {
      for (int i = 0; i < 5; i++) {
        countWhenGranted(served, "large", offer("large", Urgency.PROMPT), running);
      }
      String small = "small" + round % 10;
      countWhenGranted(served, small, offer(small, Urgency.PROMPT), running);
      running.poll().release();
      running.poll().release();
    }
    for (int i = 0; i < 10; i++) {
      assertThat("small" + i, served.get("small" + i), is(greaterThan(190)));
    }
  }

  private static void countWhenGranted(
      Map<String, Integer> served,
      String customer,
      Admission admission,
      ArrayDeque<Admission> running) {
    var unused =
        admission
            .granted()
            .thenRun(
                () -> {
                  served.merge(customer, 1, Integer::sum);
                  running.add(admission);
                });
  }

  @Test
  void retryAfterMatchesTimeToDrainQueue() {
    ArrayDeque<Admission> running = new ArrayDeque<>(fill(queue));
    Runnable drain =
        () -> {
          running.poll().release();
          if (queue.queued() < QUEUE_LIMIT) {
            countWhenGranted(new HashMap<>(), "a", offer("a", Urgency.LOOKUP), running);
          }
        };
    for (int i = 0; i < QUEUE_LIMIT; i++) {
      countWhenGranted(new HashMap<>(), "a", offer("a", Urgency.LOOKUP), running);
    }
    clock.runEvery(100 * VirtualClock.MILLI, drain);
    clock.runUntil(60 * VirtualClock.SECOND);
    long retryAfterMillis = refusal(offer("a", Urgency.LOOKUP)).retryAfterMillis();
    double retryAfterReleases = retryAfterMillis / 100.0;
    assertThat(retryAfterReleases, is(greaterThan(0.8 * QUEUE_LIMIT)));
    assertThat(retryAfterReleases, is(lessThan(1.5 * QUEUE_LIMIT)));
  }
}

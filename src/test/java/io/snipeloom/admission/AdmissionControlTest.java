package io.snipeloom.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.snipeloom.cost.PredictedService;
import io.snipeloom.cost.RequestCost;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class AdmissionControlTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long STEP_NANOS = 10_000_000L;
  private static final int MANY = 400;

  private final AdmissionControl control = new AdmissionControl(new Random(1));

  private static AdmissionRequest request(
      String kind, String customer, int priority, long remaining) {
    return new AdmissionRequest(
        "llm", kind, customer, priority, 500, 600, remaining, new RequestCost(1_000, 100, 200), 60);
  }

  private static PredictedService service(double firstMillis, boolean fits, long ageMillis) {
    return new PredictedService(true, firstMillis, firstMillis + 500, 20, fits, ageMillis);
  }

  private static Predictions all(PredictedService service) {
    return (cost, tokens) -> ServiceOutlook.of(Collections.nCopies(8, service));
  }

  /** Reviews a request each 10 ms, from half a second on. */
  private int refusedOf(AdmissionRequest request, Predictions predictions, String reason) {
    int refused = 0;
    for (int i = -50; i < MANY; i++) {
      AdmissionDecision decision =
          control.review(request, predictions, 2 * SECOND_NANOS + i * STEP_NANOS).decision();
      if (i < 0) {
        continue;
      }
      refused += decision.reason().equals(reason) ? 1 : 0;
    }
    return refused;
  }

  /** Guards against work for a caller who will have gone, which takes time from all others. */
  @Test
  void requestThatNoReplicaCanServeBeforeItsCallerLeavesIsRefusedAtOnce() {
    Predictions hopeless = all(service(9_000, true, 100));
    AdmissionReview review =
        control.review(request("report", "a", 0, 4_000), hopeless, SECOND_NANOS);
    assertThat(review.decision().admitted(), is(false));
    assertThat(review.decision().reason(), is("too_late"));
    assertThat(review.decision().retryMillis(), lessThanOrEqualTo(4_000L / 3));
  }

  /** Guards against refusals of what would be late but is still of worth to its caller. */
  @Test
  void requestThatWouldOnlyBeLateIsSent() {
    Predictions late = all(service(1_900, true, 100));
    assertThat(refusedOf(request("report", "", 0, 8_000), late, "too_late"), is(0));
  }

  /** Guards against a wrong predictor that refuses a kind of request for ever. */
  @Test
  void someRequestsThatSeemImpossibleAreSentToFindOut() {
    Predictions hopeless = all(service(9_000, true, 100));
    int refused = refusedOf(request("report", "a", 0, 4_000), hopeless, "too_late");
    assertThat(MANY - refused, is(MANY / 16));
  }

  /** Guards against predictions that stay wrong although first events show otherwise. */
  @Test
  void predictionsThatWereTooHighAreCorrected() {
    Predictions hopeless = all(service(9_000, true, 100));
    AdmissionRequest request = request("report", "a", 0, 4_000);
    AdmissionReview review = control.review(request, hopeless, SECOND_NANOS);
    for (int i = 0; i < 200; i++) {
      control.onFirstEvent("report", review, 400);
    }
    assertThat(control.review(request, hopeless, SECOND_NANOS).decision().admitted(), is(true));
  }

  /** An instance that has just started, or one that is cut off, serves as before. */
  @Test
  void everyRequestIsSentWhileTooLittleIsKnown() {
    AdmissionRequest request = request("report", "a", 5, 100);
    Predictions unknown = all(PredictedService.UNKNOWN);
    Predictions old = all(service(9_000, false, 1_600));
    Predictions none = (cost, tokens) -> ServiceOutlook.of(List.of());
    for (Predictions predictions : List.of(unknown, old, none)) {
      assertThat(control.review(request, predictions, 0), is(AdmissionReview.UNKNOWN));
    }
  }

  /** Half of the replicas unknown after a restart: the others are no sample of all. */
  @Test
  void everyRequestIsSentWhileHalfOfTheReplicasAreUnknown() {
    PredictedService known = service(9_000, true, 100);
    Predictions half = (c, t) -> ServiceOutlook.of(List.of(known, PredictedService.UNKNOWN));
    assertThat(
        control.review(request("report", "a", 5, 100), half, 0).decision().admitted(), is(true));
  }

  @Test
  void lessUrgentRequestsYieldWhileUrgentOnesWouldMissTheirTarget() {
    Predictions late = all(service(600, true, 100));
    control.review(request("chat", "a", 0, 8_000), late, SECOND_NANOS);
    int refused = refusedOf(request("report", "a", 2, 8_000), late, "yields");
    assertThat(refused / (double) MANY, closeTo(0.8, 0.08));
    assertThat(refusedOf(request("chat", "a", 0, 8_000), late, "yields"), is(0));
  }

  /** A request that fits nowhere preempts a stream, or waits before more urgent ones. */
  @Test
  void lessUrgentRequestsYieldWhileReplicasHaveNoRoom() {
    Predictions full = all(service(10, false, 100));
    control.review(request("chat", "a", 0, 8_000), full, SECOND_NANOS);
    assertThat(refusedOf(request("report", "a", 2, 8_000), full, "yields"), greaterThan(MANY / 2));
  }

  /** A fuller batch would make running streams exceed the pauses that they allow. */
  @Test
  void lessUrgentRequestsYieldWhileStreamsPauseForTooLong() {
    PredictedService paused = new PredictedService(true, 10, 500, 900, true, 100);
    control.review(request("chat", "a", 0, 8_000), all(paused), SECOND_NANOS);
    int refused = refusedOf(request("report", "a", 2, 8_000), all(paused), "yields");
    assertThat(refused, greaterThan(MANY / 2));
  }

  /** A quarter of the replicas with room suffices; the choice of a replica finds them. */
  @Test
  void nothingYieldsWhileSomeReplicasAreInTime() {
    List<PredictedService> mixed =
        List.of(
            service(10, true, 9),
            service(10, true, 9),
            service(900, false, 9),
            service(900, false, 9),
            service(900, false, 9));
    Predictions predictions = (cost, tokens) -> ServiceOutlook.of(mixed);
    control.review(request("chat", "a", 0, 8_000), predictions, SECOND_NANOS);
    assertThat(refusedOf(request("report", "a", 2, 8_000), predictions, "yields"), is(0));
  }

  /** A prompt that takes longer than its target by itself is no reason to refuse others. */
  @Test
  void timeToProcessThePromptOfAnUrgentRequestIsNoStrain() {
    Predictions idle =
        (cost, tokens) -> ServiceOutlook.of(List.of(service(10.0 * tokens + 5, true, 9)));
    control.review(request("chat", "a", 0, 8_000), idle, SECOND_NANOS);
    assertThat(refusedOf(request("report", "a", 2, 8_000), idle, "yields"), is(0));
  }

  /** A customer at 7.5 times its usual load; the others of its kind are in their shares. */
  @Test
  void excessOfOneCustomerYieldsBeforeOthersOfItsKind() {
    Predictions late = all(service(400, true, 100));
    for (int i = 0; i < 160; i++) {
      for (String customer : List.of("a", "b", "c", "d")) {
        control.onAskedElsewhere("chat", customer, 1, i * SECOND_NANOS / 10);
      }
    }
    for (int i = 0; i < 20; i++) {
      long nowNanos = (160 + i) * SECOND_NANOS / 10;
      control.onAskedElsewhere("chat", "a", 1, nowNanos);
      control.onAskedElsewhere("chat", "b", 1, nowNanos);
      control.onAskedElsewhere("chat", "c", 1, nowNanos);
      control.onAskedElsewhere("chat", "d", 15, nowNanos);
    }
    long nowNanos = 18 * SECOND_NANOS;
    int refusedOfHot = 0;
    int refusedOfOther = 0;
    isRefused(request("chat", "a", 0, 8_000), late, nowNanos - SECOND_NANOS / 2);
    for (int i = 0; i < 20; i++) {
      refusedOfHot += isRefused(request("chat", "d", 0, 8_000), late, nowNanos) ? 1 : 0;
      refusedOfOther += i < 5 && isRefused(request("chat", "a", 0, 8_000), late, nowNanos) ? 1 : 0;
    }
    assertThat("of the hot customer", refusedOfHot, greaterThan(10));
    assertThat("of another", refusedOfOther, is(0));
  }

  private boolean isRefused(AdmissionRequest request, Predictions predictions, long nowNanos) {
    return !control.review(request, predictions, nowNanos).decision().admitted();
  }

  /** A caller with one retry and 1.2 s has one chance, and others come back at other times. */
  @Test
  void callersComeBackWithinTheTimeTheyHonourAndNotAllAtOnce() {
    Random random = new Random(2);
    AdmissionRequest urgent = request("chat", "a", 0, 1_200);
    long[] times =
        random
            .doubles(MANY)
            .mapToLong(draw -> RetrySchedule.retryMillis(2_000, urgent, draw))
            .sorted()
            .toArray();
    assertThat(times[MANY - 1], lessThanOrEqualTo(400L));
    assertThat(times[MANY - 1] - times[0], greaterThan(200L));
    AdmissionRequest hurried = request("chat", "a", 0, 600);
    assertThat(RetrySchedule.retryMillis(2_000, hurried, 1), lessThanOrEqualTo(200L));
    long half = times[MANY / 2];
    AdmissionRequest other = request("report", "a", 2, 1_200);
    assertThat(half, lessThan(RetrySchedule.retryMillis(2_000, other, 0.5)));
  }
}

package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionEvent.BudgetLevel;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.SpendPolicy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class BudgetHolderTest {
  private static final Incarnation SELF = Incarnation.of("router1#a");
  private static final Incarnation OTHER = Incarnation.of("router2#a");
  private static final BudgetId BUDGET = BudgetId.of("b1");
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  private final List<DecisionRecord> appended = new ArrayList<>();
  private long nowNanos;
  private final BudgetHolder holder =
      BudgetHolder.create(
          SELF,
          budget -> SpendPolicy.TIGHT,
          records -> {
            appended.addAll(records);
            return CompletableFuture.completedFuture(0L);
          },
          () -> nowNanos,
          new MetricRegistry());

  private static AttemptId attempt(long sequence) {
    return AttemptId.of(SELF, sequence);
  }

  private void grant(long asked, long granted, long pool, long held) {
    holder.onEvent(
        new DecisionEvent.ClaimGranted(
            1, SELF, asked, asked, granted, new BudgetLevel(BUDGET, pool, held, 0)));
  }

  private ErrorCode refusalCode(long sequence, long tokens) {
    return assertThrows(
            SnipeloomException.class, () -> holder.reserve(BUDGET, attempt(sequence), tokens))
        .code();
  }

  @Test
  void pendingClaimIsNotRequestedAgain() {
    assertThat(refusalCode(1, 100), is(ErrorCode.BUDGET_UNAVAILABLE));
    assertThat(refusalCode(2, 100), is(ErrorCode.BUDGET_UNAVAILABLE));
    nowNanos += 60 * SECOND_NANOS;
    holder.step();
    assertThat(appended, hasSize(1));
  }

  @Test
  void reservationsStayWithinGrantedTokens() {
    refusalCode(1, 100);
    grant(100, 100, 0, 100);
    holder.reserve(BUDGET, attempt(2), 60);
    assertThat(refusalCode(3, 60), is(ErrorCode.BUDGET_UNAVAILABLE));
    holder.settle(attempt(2), 10);
    holder.reserve(BUDGET, attempt(4), 90);
    assertThat(holder.remaining(BUDGET), is(0L));
  }

  @Test
  void waitingReservationCompletesOnGrant() {
    CompletableFuture<Reservation> result =
        holder.reserveBy(BUDGET, attempt(1), 100, SECOND_NANOS).toCompletableFuture();
    grant(100, 100, 0, 100);
    assertThat(result.join().tokens(), is(100L));
  }

  @Test
  void waitingReservationFailsAtItsDeadline() {
    CompletableFuture<Reservation> result =
        holder.reserveBy(BUDGET, attempt(1), 100, SECOND_NANOS).toCompletableFuture();
    nowNanos = SECOND_NANOS;
    holder.step();
    assertThat(result.isCompletedExceptionally(), is(true));
  }

  @Test
  void budgetWithoutPooledOrHeldTokensIsExhausted() {
    refusalCode(1, 100);
    grant(100, 0, 0, 0);
    assertThat(refusalCode(2, 100), is(ErrorCode.BUDGET_EXHAUSTED));
  }

  @Test
  void budgetIsUnavailableWhileOtherHoldersHoldTokens() {
    refusalCode(1, 100);
    grant(100, 0, 0, 500);
    assertThat(refusalCode(2, 100), is(ErrorCode.BUDGET_UNAVAILABLE));
  }

  @Test
  void unmetDemandOfAnotherHolderReturnsUnreservedTokens() {
    refusalCode(1, 100);
    grant(400, 400, 0, 400);
    appended.clear();
    holder.onEvent(
        new DecisionEvent.ClaimGranted(2, OTHER, 300, 300, 0, new BudgetLevel(BUDGET, 0, 400, 0)));
    assertThat(appended, is(List.of(new DecisionRecord.ClaimReturned(SELF, BUDGET, 300))));
  }

  @Test
  void exactSettlementReplacingEstimateIsCredited() {
    refusalCode(1, 100);
    grant(100, 100, 0, 100);
    holder.reserve(BUDGET, attempt(2), 100);
    holder.settle(attempt(2), 100);
    holder.onEvent(settled(attempt(2), 100, 100, false));
    holder.onEvent(settled(attempt(2), 30, -70, true));
    assertThat(holder.remaining(BUDGET), is(70L));
  }

  @Test
  void closedHolderRefusesReservations() {
    refusalCode(1, 100);
    grant(100, 100, 0, 100);
    holder.onEvent(new DecisionEvent.HolderClosed(3, SELF));
    assertThat(refusalCode(2, 10), is(ErrorCode.FENCED));
  }

  @Test
  void stoppedHolderReturnsUnreservedTokensAndTheRestOnSettlement() {
    refusalCode(1, 100);
    grant(100, 100, 0, 100);
    holder.reserve(BUDGET, attempt(2), 40);
    appended.clear();
    holder.stop();
    assertThat(holder.isDrained(), is(false));
    holder.settle(attempt(2), 30);
    assertThat(
        appended,
        is(
            List.of(
                new DecisionRecord.ClaimReturned(SELF, BUDGET, 60),
                new DecisionRecord.ClaimReturned(SELF, BUDGET, 10))));
    assertThat(holder.isDrained(), is(true));
  }

  @Test
  void idleHolderReturnsAllTokens() {
    refusalCode(1, 100);
    grant(100, 100, 0, 100);
    appended.clear();
    holder.step();
    assertThat(appended, is(empty()));
    nowNanos = 61 * SECOND_NANOS;
    holder.step();
    assertThat(appended, is(List.of(new DecisionRecord.ClaimReturned(SELF, BUDGET, 100))));
  }

  private static DecisionEvent settled(
      AttemptId attempt, long counted, long change, boolean exact) {
    return new DecisionEvent.SettlementApplied(
        1,
        attempt,
        RequestKey.of(CustomerId.of("c1"), "k"),
        counted,
        change,
        exact,
        exact ? DecisionEvent.SettlementEffect.REPLACED : DecisionEvent.SettlementEffect.COUNTED,
        false,
        new BudgetLevel(BUDGET, 0, 0, 0));
  }
}

package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionEvent.BudgetLevel;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.SpendPolicy;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;

/**
 * The tokens that one router holds of one budget. Every token granted is returned, settled,
 * reserved or remaining. Not thread-safe; its shard's lock guards it.
 */
final class HeldBudget {
  private static final int MAX_UNCONFIRMED = 4096;
  private static final long UNKNOWN = -1;
  private static final long SCARCITY_NANOS = Duration.ofSeconds(10).toNanos();

  private final BudgetId id;
  private final Map<AttemptId, Long> reservations = new HashMap<>();
  private final Map<AttemptId, Long> unconfirmed = new LinkedHashMap<>();
  private final Queue<ReservationWaiter> waiters = new ArrayDeque<>(1);
  private long granted;
  private long remaining;
  private long returned;
  private long reserved;
  private long settled;
  private long excess;
  private long pool = UNKNOWN;
  private long othersHeld;
  private long ownInLog;
  private long claimAsked;
  private long needed;
  private long neededAtNanos;
  private boolean pooledSinceShortGrant = true;
  private boolean scarce;
  private long scarceAtNanos;
  private double rate;
  private long consumedSinceRate;
  private long rateAtNanos;
  private long usedAtNanos;
  private long movedAtNanos;
  private long usualReservation;

  HeldBudget(BudgetId id, long nowNanos) {
    this.id = id;
    this.rateAtNanos = nowNanos;
    this.usedAtNanos = nowNanos;
    this.movedAtNanos = nowNanos;
  }

  BudgetId id() {
    return id;
  }

  long remaining() {
    return remaining;
  }

  long reserved() {
    return reserved;
  }

  long excess() {
    return excess;
  }

  Queue<ReservationWaiter> waiters() {
    return waiters;
  }

  boolean hasClaimUnderWay() {
    return claimAsked > 0;
  }

  boolean isPoolKnown() {
    return pool != UNKNOWN;
  }

  double rate() {
    return rate;
  }

  /** Returns whether nothing is left to settle, return or await. */
  boolean isEmpty() {
    return remaining == 0
        && reserved == 0
        && claimAsked == 0
        && waiters.isEmpty()
        && unconfirmed.isEmpty();
  }

  /** Returns whether every reservation is settled and every token returned. */
  boolean isDrained() {
    return remaining == 0 && reserved == 0 && claimAsked == 0;
  }

  /** Returns whether a reservation waits, or was refused for lack of tokens. */
  boolean isInNeed() {
    return needed > 0 || !waiters.isEmpty();
  }

  /** Returns whether no return of another holder could make room for a reservation. */
  boolean isExhaustedFor(long tokens) {
    return isPoolKnown() && claimAsked == 0 && pool + othersHeld + remaining + reserved < tokens;
  }

  boolean tryReserve(AttemptId attempt, long tokens, long nowNanos) {
    usedAtNanos = nowNanos;
    usualReservation = Math.max(tokens, usualReservation / 2);
    if (reservations.containsKey(attempt)) {
      throw SnipeloomException.of(ErrorCode.INVARIANT_VIOLATED, "attempt reserved twice")
          .withOrigin("reserve", id.value());
    }
    if (remaining < tokens) {
      needed = Math.max(needed, tokens);
      neededAtNanos = nowNanos;
      return false;
    }
    reservations.put(attempt, tokens);
    reserved += tokens;
    remaining -= tokens;
    check();
    return true;
  }

  /** Ends a reservation; returns false if there is none. */
  boolean settle(AttemptId attempt, long consumed, long nowNanos) {
    Long tokens = reservations.remove(attempt);
    if (tokens == null) {
      return false;
    }
    usedAtNanos = nowNanos;
    reserved -= tokens;
    remaining += tokens;
    long covered = Math.min(consumed, remaining);
    remaining -= covered;
    excess += Math.max(0, consumed - tokens);
    settled += covered;
    consumedSinceRate += consumed;
    if (consumed > 0) {
      rememberUnconfirmed(attempt, covered);
    }
    check();
    return true;
  }

  private void rememberUnconfirmed(AttemptId attempt, long tokens) {
    unconfirmed.put(attempt, tokens);
    if (unconfirmed.size() > MAX_UNCONFIRMED) {
      unconfirmed.remove(unconfirmed.keySet().iterator().next());
    }
  }

  /** Takes what the log counts for an attempt of this holder, in place of what was settled here. */
  void confirm(DecisionEvent.SettlementApplied settlement, long nowNanos) {
    AttemptId attempt = settlement.attempt();
    long counted = settlement.counted();
    ownInLog = Math.max(0, ownInLog - settlement.change());
    boolean wasOpen = settle(attempt, counted, nowNanos);
    Long local = unconfirmed.get(attempt);
    if (local == null) {
      return;
    }
    if (counted < local) {
      settled -= local - counted;
      remaining += local - counted;
    }
    if (settlement.exact() || wasOpen) {
      unconfirmed.remove(attempt);
    } else {
      unconfirmed.put(attempt, Math.min(local, counted));
    }
    check();
  }

  void addGranted(DecisionEvent.ClaimGranted grant) {
    long tokens = grant.granted();
    granted += tokens;
    remaining += tokens;
    ownInLog += tokens;
    claimAsked = 0;
    pooledSinceShortGrant = grant.shortfall() == 0;
    check();
  }

  void claimRefused() {
    claimAsked = 0;
  }

  void confirmReturned(long tokens) {
    ownInLog = Math.max(0, ownInLog - tokens);
  }

  void noteLevel(BudgetLevel level) {
    setPool(level.pool());
    othersHeld = Math.max(0, level.held() - level.stranded() - ownInLog);
  }

  void addToPool(long tokens) {
    if (isPoolKnown()) {
      setPool(pool + tokens);
    }
  }

  private void setPool(long tokens) {
    pool = tokens;
    pooledSinceShortGrant |= tokens > 0;
  }

  /** Returns the tokens to claim now; 0 for none. A claim under way is not doubled. */
  long claimNow(SpendPolicy policy, long nowNanos, long needMemoryNanos, long recallRetryNanos) {
    if (claimAsked > 0) {
      return 0;
    }
    boolean satisfied = waiters.isEmpty() && remaining >= needed;
    if (satisfied || nowNanos - neededAtNanos > needMemoryNanos) {
      needed = 0;
    }
    long missing = missing();
    boolean worthAsking = pooledSinceShortGrant || nowNanos - movedAtNanos > recallRetryNanos;
    long knownPool = Math.max(0, pool);
    boolean scarce = isScarceAt(nowNanos);
    long tokens = scarce ? missing : ClaimPolicy.claim(policy, rate, knownPool, remaining, missing);
    boolean tooSmall = missing == 0 && tokens < usualReservation;
    if (tokens == 0 || tooSmall || !worthAsking) {
      return 0;
    }
    claimAsked = tokens;
    movedAtNanos = nowNanos;
    return tokens;
  }

  /** Notes that a holder lacks tokens: for a while, wishes must not compete with needs. */
  void noteScarcity(long nowNanos) {
    scarce = true;
    scarceAtNanos = nowNanos;
  }

  private boolean isScarceAt(long nowNanos) {
    scarce = scarce && nowNanos - scarceAtNanos < SCARCITY_NANOS;
    return scarce;
  }

  /** Returns the tokens that waiting or recently refused reservations lack. */
  long missing() {
    long wanted = Math.max(needed, waiters.stream().mapToLong(ReservationWaiter::tokens).sum());
    return Math.max(0, wanted - remaining);
  }

  /** Takes tokens out to return them to the pool. */
  long takeForReturn(long tokens, long nowNanos) {
    long taken = Math.min(tokens, remaining);
    returned += taken;
    remaining -= taken;
    movedAtNanos = nowNanos;
    check();
    return taken;
  }

  long recalled(long missing) {
    return ClaimPolicy.recalled(rate, remaining, usualReservation, missing);
  }

  long surplus(SpendPolicy policy, long nowNanos, long idleNanos, long intervalNanos) {
    if (claimAsked > 0 || nowNanos - movedAtNanos < intervalNanos) {
      return 0;
    }
    boolean idle = reserved == 0 && nowNanos - usedAtNanos > idleNanos;
    boolean rateKnown = idle || rate > 0;
    return rateKnown ? ClaimPolicy.surplus(policy, rate, remaining, idle) : 0;
  }

  void updateRate(SpendPolicy policy, long nowNanos) {
    long elapsed = nowNanos - rateAtNanos;
    if (elapsed > 0) {
      rate = ClaimPolicy.rate(policy, rate, consumedSinceRate, elapsed);
      consumedSinceRate = 0;
      rateAtNanos = nowNanos;
    }
  }

  private void check() {
    boolean conserved = granted == remaining + reserved + settled + returned;
    if (!conserved || remaining < 0 || reserved < 0 || settled < 0) {
      throw SnipeloomException.of(
              ErrorCode.INVARIANT_VIOLATED,
              "granted=%d remaining=%d returned=%d reserved=%d settled=%d"
                  .formatted(granted, remaining, returned, reserved, settled))
          .withOrigin("hold", id.value());
    }
  }
}

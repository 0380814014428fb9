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
 * The tokens of one budget that one router holds. The tokens granted always equal the sum of those
 * returned, settled, reserved and remaining. Not thread-safe; guarded by the lock of its shard.
 */
final class HeldBudget {
  /** Bounds the memory for settlements that the log has not confirmed; the oldest is dropped. */
  private static final int MAX_UNCONFIRMED = 4096;

  private static final long UNKNOWN = -1;
  private static final long SCARCITY_DURATION_NANOS = Duration.ofSeconds(10).toNanos();

  private final BudgetId id;
  private final Map<AttemptId, Long> reservations = new HashMap<>();

  /** The tokens settled locally for attempts whose settlement was not read back from the log. */
  private final Map<AttemptId, Long> unconfirmed = new LinkedHashMap<>();

  private final Queue<ReservationWaiter> waiters = new ArrayDeque<>(1);
  private long granted;
  private long remaining;
  private long returned;
  private long reserved;
  private long settled;

  /** The tokens consumed beyond the reservations of their attempts. */
  private long excess;

  private long pool = UNKNOWN;
  private long othersHeld;

  /** The tokens that this holder holds according to the log records read so far. */
  private long ownHeldInLog;

  private long pendingClaim;

  /** The largest reservation that was recently refused; 0 if none. */
  private long needed;

  private long neededAtNanos;
  private boolean poolFilledSinceShortGrant = true;
  private boolean scarce;
  private long lastScarcityNanos;
  private double rate;
  private long consumedSinceRateUpdate;
  private long rateUpdatedNanos;
  private long lastUseNanos;

  /** The time of the last claim or return. */
  private long lastTransferNanos;

  /** The largest recent reservation; decays by half with each further reservation. */
  private long typicalReservation;

  HeldBudget(BudgetId id, long nowNanos) {
    this.id = id;
    this.rateUpdatedNanos = nowNanos;
    this.lastUseNanos = nowNanos;
    this.lastTransferNanos = nowNanos;
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

  boolean hasPendingClaim() {
    return pendingClaim > 0;
  }

  boolean isPoolKnown() {
    return pool != UNKNOWN;
  }

  double rate() {
    return rate;
  }

  /** Returns whether no tokens, reservations, claims, waiters or unconfirmed settlements remain. */
  boolean isEmpty() {
    return remaining == 0
        && reserved == 0
        && pendingClaim == 0
        && waiters.isEmpty()
        && unconfirmed.isEmpty();
  }

  /**
   * Returns whether every reservation is settled, every token is returned and no claim is pending.
   */
  boolean isDrained() {
    return remaining == 0 && reserved == 0 && pendingClaim == 0;
  }

  /** Returns whether a reservation waits for tokens or was recently refused for lack of them. */
  boolean hasUnmetNeed() {
    return needed > 0 || !waiters.isEmpty();
  }

  /**
   * Returns whether the pool and all holders together have too few tokens for a reservation, so
   * that no return by another holder could make it possible.
   */
  boolean isExhaustedFor(long tokens) {
    return isPoolKnown() && pendingClaim == 0 && pool + othersHeld + remaining + reserved < tokens;
  }

  boolean tryReserve(AttemptId attempt, long tokens, long nowNanos) {
    lastUseNanos = nowNanos;
    typicalReservation = Math.max(tokens, typicalReservation / 2);
    if (reservations.containsKey(attempt)) {
      throw SnipeloomException.of(
              ErrorCode.INVARIANT_VIOLATED, "the attempt already has a reservation")
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
    checkInvariants();
    return true;
  }

  /** Settles a reservation; returns false if there is none. */
  boolean settle(AttemptId attempt, long consumed, long nowNanos) {
    Long tokens = reservations.remove(attempt);
    if (tokens == null) {
      return false;
    }
    lastUseNanos = nowNanos;
    reserved -= tokens;
    remaining += tokens;
    long covered = Math.min(consumed, remaining);
    remaining -= covered;
    excess += Math.max(0, consumed - tokens);
    settled += covered;
    consumedSinceRateUpdate += consumed;
    if (consumed > 0) {
      addUnconfirmed(attempt, covered);
    }
    checkInvariants();
    return true;
  }

  private void addUnconfirmed(AttemptId attempt, long tokens) {
    unconfirmed.put(attempt, tokens);
    if (unconfirmed.size() > MAX_UNCONFIRMED) {
      unconfirmed.remove(unconfirmed.keySet().iterator().next());
    }
  }

  /** Replaces the locally settled tokens of an attempt by those that the log counts for it. */
  void confirm(DecisionEvent.SettlementApplied settlement, long nowNanos) {
    AttemptId attempt = settlement.attempt();
    long counted = settlement.counted();
    ownHeldInLog = Math.max(0, ownHeldInLog - settlement.change());
    boolean wasReserved = settle(attempt, counted, nowNanos);
    Long local = unconfirmed.get(attempt);
    if (local == null) {
      return;
    }
    if (counted < local) {
      settled -= local - counted;
      remaining += local - counted;
    }
    if (settlement.exact() || wasReserved) {
      unconfirmed.remove(attempt);
    } else {
      unconfirmed.put(attempt, Math.min(local, counted));
    }
    checkInvariants();
  }

  void addGranted(DecisionEvent.ClaimGranted grant) {
    long tokens = grant.granted();
    granted += tokens;
    remaining += tokens;
    ownHeldInLog += tokens;
    pendingClaim = 0;
    poolFilledSinceShortGrant = grant.shortfall() == 0;
    checkInvariants();
  }

  void claimRefused() {
    pendingClaim = 0;
  }

  void confirmReturned(long tokens) {
    ownHeldInLog = Math.max(0, ownHeldInLog - tokens);
  }

  void updateLevel(BudgetLevel level) {
    setPool(level.pool());
    othersHeld = Math.max(0, level.held() - level.stranded() - ownHeldInLog);
  }

  void addToPool(long tokens) {
    if (isPoolKnown()) {
      setPool(pool + tokens);
    }
  }

  private void setPool(long tokens) {
    pool = tokens;
    poolFilledSinceShortGrant |= tokens > 0;
  }

  /**
   * Starts a claim and returns its tokens; returns 0 if a claim is already pending or none is due.
   * A claim is not repeated within the retry interval while the pool has stayed empty since a grant
   * that fell short.
   */
  long startClaim(
      SpendPolicy policy, long nowNanos, long needRetentionNanos, long claimRetryNanos) {
    if (pendingClaim > 0) {
      return 0;
    }
    boolean satisfied = waiters.isEmpty() && remaining >= needed;
    if (satisfied || nowNanos - neededAtNanos > needRetentionNanos) {
      needed = 0;
    }
    long missing = missing();
    boolean claimMayBeGranted =
        poolFilledSinceShortGrant || nowNanos - lastTransferNanos > claimRetryNanos;
    long knownPool = Math.max(0, pool);
    boolean scarce = isScarceAt(nowNanos);
    long tokens = scarce ? missing : ClaimPolicy.claim(policy, rate, knownPool, remaining, missing);
    boolean tooSmall = missing == 0 && tokens < typicalReservation;
    if (tokens == 0 || tooSmall || !claimMayBeGranted) {
      return 0;
    }
    pendingClaim = tokens;
    lastTransferNanos = nowNanos;
    return tokens;
  }

  /**
   * Records that some holder lacks tokens. For a limited time after this, claims ask only for
   * tokens that reservations lack, so that claims ahead of need do not compete with them.
   */
  void recordScarcity(long nowNanos) {
    scarce = true;
    lastScarcityNanos = nowNanos;
  }

  private boolean isScarceAt(long nowNanos) {
    scarce = scarce && nowNanos - lastScarcityNanos < SCARCITY_DURATION_NANOS;
    return scarce;
  }

  /** Returns the tokens that are missing for waiting or recently refused reservations. */
  long missing() {
    long wanted = Math.max(needed, waiters.stream().mapToLong(ReservationWaiter::tokens).sum());
    return Math.max(0, wanted - remaining);
  }

  /**
   * Removes up to this many remaining tokens, to be returned to the pool, and returns the number
   * removed.
   */
  long takeForReturn(long tokens, long nowNanos) {
    long taken = Math.min(tokens, remaining);
    returned += taken;
    remaining -= taken;
    lastTransferNanos = nowNanos;
    checkInvariants();
    return taken;
  }

  /** Returns the tokens to return because another holder lacks tokens. */
  long tokensForRecall(long missing) {
    return ClaimPolicy.tokensForRecall(rate, remaining, typicalReservation, missing);
  }

  /** Returns the tokens to return because this holder does not need them; 0 if none. */
  long surplus(SpendPolicy policy, long nowNanos, long idleNanos, long intervalNanos) {
    if (pendingClaim > 0 || nowNanos - lastTransferNanos < intervalNanos) {
      return 0;
    }
    boolean idle = reserved == 0 && nowNanos - lastUseNanos > idleNanos;
    boolean rateKnown = idle || rate > 0;
    return rateKnown ? ClaimPolicy.surplus(policy, rate, remaining, idle) : 0;
  }

  void updateRate(SpendPolicy policy, long nowNanos) {
    long elapsed = nowNanos - rateUpdatedNanos;
    if (elapsed > 0) {
      rate = ClaimPolicy.rate(policy, rate, consumedSinceRateUpdate, elapsed);
      consumedSinceRateUpdate = 0;
      rateUpdatedNanos = nowNanos;
    }
  }

  private void checkInvariants() {
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

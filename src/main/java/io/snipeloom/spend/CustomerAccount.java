package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/**
 * The tokens of one customer that this instance has claimed.
 *
 * <p>Each claimed token is available, reserved by a running request, spent, or on its way back to
 * the ledger; the sum is checked after each change. Not thread-safe.
 */
final class CustomerAccount {
  private final CustomerId customer;
  private final SpendRate rate = new SpendRate();
  private final SpendRate ownClaims = new SpendRate();
  private final SpendRate otherClaims = new SpendRate();
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private long limit;
  private long granted;
  private long available;
  private long reserved;
  private long spent;
  private boolean returnWanted;

  /** A request that waits for a claim. */
  record Waiter(long tokens, long untilNanos, Consumer<ReserveOutcome> listener) {}

  CustomerAccount(CustomerId customer, long limit) {
    this.customer = customer;
    this.limit = limit;
  }

  CustomerId customer() {
    return customer;
  }

  long limit() {
    return limit;
  }

  void limitTo(long newLimit) {
    limit = newLimit;
  }

  long available() {
    return available;
  }

  /** Takes note of a change of the claimed total. */
  void onClaimed(long tokens, boolean own, long nowNanos) {
    if (tokens > 0) {
      (own ? ownClaims : otherClaims).add(tokens, nowNanos);
    }
  }

  /** Returns the share of this instance in what was claimed lately, 1 if nothing was. */
  double useShare(long nowNanos) {
    double own = ownClaims.tokensPerSecond(nowNanos);
    double all = own + otherClaims.tokensPerSecond(nowNanos);
    return all == 0 ? 1 : own / all;
  }

  long spent() {
    return spent;
  }

  double tokensPerSecond(long nowNanos) {
    return rate.tokensPerSecond(nowNanos);
  }

  /** Reserves tokens in hand. */
  boolean reserve(long tokens, long nowNanos) {
    if (tokens > available) {
      return false;
    }
    available -= tokens;
    reserved += tokens;
    rate.add(tokens, nowNanos);
    check();
    return true;
  }

  /** Ends a reservation; what was not used is available again. */
  void settle(long reservedTokens, long usedTokens, long nowNanos) {
    reserved -= reservedTokens;
    spent += usedTokens;
    available += reservedTokens - usedTokens;
    rate.add(usedTokens - reservedTokens, nowNanos);
    check();
  }

  void grant(long tokens) {
    granted += tokens;
    available += tokens;
    check();
  }

  /** Takes tokens out of hand before they are returned to the ledger. */
  void giveBack(long tokens) {
    granted -= tokens;
    available -= tokens;
    check();
  }

  void await(Waiter waiter) {
    waiters.add(waiter);
  }

  /** Returns the missing tokens of the first request that waits, 0 if none waits. */
  long missing() {
    Waiter first = waiters.peek();
    return first == null ? 0 : Math.max(0, first.tokens() - available);
  }

  boolean hasWaiters() {
    return !waiters.isEmpty();
  }

  void wantReturn() {
    returnWanted = true;
  }

  /** Returns the tokens that should go back to the ledger and forgets the wish. */
  long takeReturn() {
    if (!returnWanted) {
      return 0;
    }
    returnWanted = false;
    return waiters.isEmpty() ? available : 0;
  }

  /** Serves the requests that wait, in their order, as far as the tokens in hand reach. */
  void serveWaiters(long nowNanos) {
    List<Waiter> served = new ArrayList<>();
    while (!waiters.isEmpty() && reserve(waiters.peek().tokens(), nowNanos)) {
      served.add(waiters.poll());
    }
    served.forEach(waiter -> waiter.listener().accept(ReserveOutcome.RESERVED));
  }

  /** Refuses the first request that waits. */
  void refuseFirst(ReserveOutcome outcome) {
    Waiter first = waiters.poll();
    if (first != null) {
      first.listener().accept(outcome);
    }
  }

  /** Refuses the requests that have waited too long. */
  void refuseExpired(long nowNanos) {
    List<Waiter> expired = new ArrayList<>();
    Iterator<Waiter> all = waiters.iterator();
    while (all.hasNext()) {
      Waiter waiter = all.next();
      if (nowNanos - waiter.untilNanos() >= 0) {
        all.remove();
        expired.add(waiter);
      }
    }
    expired.forEach(waiter -> waiter.listener().accept(ReserveOutcome.UNAVAILABLE));
  }

  private void check() {
    boolean balanced = granted == available + reserved + spent;
    if (!balanced || available < 0 || reserved < 0) {
      throw SnipeloomException.of(
          ErrorCode.INVARIANT_VIOLATED,
          "account of %s: granted %d, available %d, reserved %d, spent %d"
              .formatted(customer, granted, available, reserved, spent));
    }
  }
}

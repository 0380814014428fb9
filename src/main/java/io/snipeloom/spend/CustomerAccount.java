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
 * <p>Each granted token is available, reserved by a running request, spent, set aside for the
 * ledger, returned to it or lent to another instance; the sum is checked after each change. Use
 * never exceeds what the last usage reports allow. Not thread-safe.
 */
final class CustomerAccount {
  /** Prompts differ much in size; most are below this many times the mean. */
  private static final int BURST_REQUESTS = 2;

  /** What a report allows at once is at most this part of the tokens in hand. */
  private static final int BURST_PART = 3;

  /** In an outage of the store the hand may be used up within this time, in seconds. */
  private static final double HAND_SECONDS = 5;

  /** The weight of a request in the mean size of requests. */
  private static final int MEAN_REQUESTS = 8;

  /** The time after the first grant, as after a restart, in which use is still being learned. */
  private static final long LEARNING_NANOS = 5_000_000_000L;

  /** After the other instances lent nothing, none is asked for this time. */
  private static final long LOAN_PAUSE_NANOS = 300_000_000L;

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
  private long setAside;
  private long returned;
  private long lent;
  private long meanRequest;
  private Binding confirmed;
  private Binding pending;
  private long firstGrantNanos;
  private boolean returnWanted;
  private boolean borrowing;
  private long loansRefusedNanos = Long.MIN_VALUE / 2;

  /** A report that binds this instance from a moment on. */
  private record Binding(UsageReport report, UsageReport.Use use) {
    /** Returns what is left of the use that was stated; tokens granted since come on top. */
    long room(long granted, long used, long nowNanos) {
      return use.mostUsed(nowNanos - report.nanos()) - used + granted - use.grantedTokens();
    }
  }

  /**
   * A request that waits for a claim, or for a loan if that is under way then.
   *
   * @param tokens the tokens that it needs
   * @param untilNanos the time until which it waits for a claim
   * @param loanUntilNanos the time until which it waits for a loan
   * @param listener takes the outcome
   */
  record Waiter(
      long tokens, long untilNanos, long loanUntilNanos, Consumer<ReserveOutcome> listener) {}

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

  /** Returns whether the recent use tells what this instance needs. */
  boolean isUseKnown(long nowNanos) {
    return granted > 0 && nowNanos - firstGrantNanos > LEARNING_NANOS;
  }

  /** Returns the share of this instance in what was claimed lately, 1 if nothing was. */
  double useShare(long nowNanos) {
    double own = ownClaims.tokensPerSecond(nowNanos);
    double all = own + otherClaims.tokensPerSecond(nowNanos);
    return all == 0 ? 1 : own / all;
  }

  double tokensPerSecond(long nowNanos) {
    return rate.tokensPerSecond(nowNanos);
  }

  /** Reserves tokens in hand. */
  boolean reserve(long tokens, long nowNanos) {
    if (tokens > available || tokens > room(nowNanos)) {
      return false;
    }
    available -= tokens;
    reserved += tokens;
    meanRequest += (tokens - meanRequest) / MEAN_REQUESTS;
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

  void grant(long tokens, long nowNanos) {
    if (granted == 0) {
      firstGrantNanos = nowNanos;
    }
    granted += tokens;
    available += tokens;
    check();
  }

  /** Takes tokens out of hand that are to go back to the ledger. */
  void setAside(long tokens) {
    available -= tokens;
    setAside += tokens;
    check();
  }

  long setAside() {
    return setAside;
  }

  /** Hands out the tokens that go back to the ledger, once the reports allow it. */
  long takeSetAside(long nowNanos) {
    if (setAside == 0 || setAside > room(nowNanos)) {
      return 0;
    }
    long tokens = setAside;
    setAside = 0;
    returned += tokens;
    check();
    return tokens;
  }

  /** Gives tokens in hand to another instance, as far as the reports allow. */
  boolean lend(long tokens, long nowNanos) {
    if (tokens > available || tokens > room(nowNanos)) {
      return false;
    }
    available -= tokens;
    lent += tokens;
    check();
    return true;
  }

  /** Gives reserved tokens to another instance. */
  void lendReserved(long tokens) {
    reserved -= tokens;
    lent += tokens;
    check();
  }

  boolean isBorrowing() {
    return borrowing;
  }

  /** Returns whether the other instances lent nothing a moment ago. */
  boolean areLoansRefused(long nowNanos) {
    return nowNanos - loansRefusedNanos < LOAN_PAUSE_NANOS;
  }

  void startBorrowing() {
    borrowing = true;
  }

  void endBorrowing(boolean refused, long nowNanos) {
    borrowing = false;
    if (refused) {
      loansRefusedNanos = nowNanos;
    }
  }

  /** Sets tokens aside again whose return another write to the ledger forestalled. */
  void returnFailed(long tokens) {
    returned -= tokens;
    setAside += tokens;
    check();
  }

  /** Returns what may be used at once under the reports that bind this instance. */
  long room(long nowNanos) {
    long room = Long.MAX_VALUE;
    if (confirmed != null) {
      room = confirmed.room(granted, used(), nowNanos);
    }
    if (pending != null) {
      room = Math.min(room, pending.room(granted, used(), nowNanos));
    }
    return room;
  }

  /** Returns the statement for the next report, in which some more tokens are in hand. */
  UsageReport.Use state(long nowNanos, long inherited) {
    long burst = Math.min(BURST_REQUESTS * meanRequest, available / BURST_PART) + waitingTokens();
    long perSecond = Math.max(0, (long) rate.tokensPerSecond(nowNanos));
    long inOutage = (long) (available / HAND_SECONDS);
    return new UsageReport.Use(
        customer, granted + inherited, used() + setAside, burst, perSecond, inOutage);
  }

  private long waitingTokens() {
    return waiters.stream().mapToLong(Waiter::tokens).sum();
  }

  /** Obeys a report from the moment at which it may be in the ledger. */
  void bind(UsageReport report) {
    pending = binding(report);
  }

  /** Takes note that the report is in the ledger and earlier ones count no more. */
  void confirm(UsageReport report) {
    confirmed = binding(report);
    pending = null;
  }

  /** Takes note that the last report never will be in the ledger. */
  void unbind() {
    pending = null;
  }

  private Binding binding(UsageReport report) {
    return report.uses().stream()
        .filter(use -> use.customer().equals(customer))
        .findFirst()
        .map(use -> new Binding(report, use))
        .orElse(null);
  }

  private long used() {
    return spent + reserved + returned + lent;
  }

  /** Returns whether the first request that waits has its tokens but the reports forbid it. */
  boolean waitsForReport(long nowNanos) {
    Waiter first = waiters.peek();
    return first != null && first.tokens() <= available && first.tokens() > room(nowNanos);
  }

  void await(Waiter waiter) {
    waiters.add(waiter);
  }

  /** Returns the missing tokens of the first request that waits, 0 if none waits. */
  long missing() {
    Waiter first = waiters.peek();
    return first == null ? 0 : Math.max(0, first.tokens() - available);
  }

  /** Returns what the first request that waits lacks now, be it tokens or the reports' leave. */
  long shortage(long nowNanos) {
    Waiter first = waiters.peek();
    return first == null ? 0 : Math.max(0, first.tokens() - Math.min(available, room(nowNanos)));
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
      if (isExpired(waiter, nowNanos)) {
        all.remove();
        expired.add(waiter);
      }
    }
    expired.forEach(waiter -> waiter.listener().accept(ReserveOutcome.UNAVAILABLE));
  }

  private boolean isExpired(Waiter waiter, long nowNanos) {
    boolean loanDue = borrowing && nowNanos - waiter.loanUntilNanos() < 0;
    return nowNanos - waiter.untilNanos() >= 0 && !loanDue;
  }

  private void check() {
    boolean balanced = granted == available + reserved + spent + setAside + returned + lent;
    if (!balanced || available < 0 || reserved < 0 || setAside < 0) {
      throw SnipeloomException.of(
          ErrorCode.INVARIANT_VIOLATED,
          ("account of %s: granted %d, available %d, reserved %d, spent %d, aside %d, "
                  + "returned %d, lent %d")
              .formatted(customer, granted, available, reserved, spent, setAside, returned, lent));
    }
  }
}

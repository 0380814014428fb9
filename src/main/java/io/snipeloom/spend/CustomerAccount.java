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
 * <p>Each granted token is in exactly one state: available, reserved by a running request, spent,
 * pending return to the ledger, returned to the ledger, or lent to another instance. The sum is
 * checked after every change. Usage never exceeds what the latest usage reports allow. Not
 * thread-safe.
 */
final class CustomerAccount {
  /** The burst allowance in a usage report, as a multiple of the mean request size. */
  private static final int BURST_MEAN_REQUESTS = 1;

  /** The time in which all available tokens may be used during an outage of the store. */
  private static final double OUTAGE_SPEND_SECONDS = 5;

  /** The time after the first grant, such as after a restart, before the usage rate is reliable. */
  private static final long RATE_LEARNING_NANOS = 5_000_000_000L;

  /** The delay before another loan is requested after the other instances lent too little. */
  private static final long LOAN_RETRY_DELAY_NANOS = 300_000_000L;

  private final CustomerId customer;
  private final SpendRate rate = new SpendRate();
  private final RequestSize requestSize = new RequestSize();
  private final SpendRate ownClaims = new SpendRate();
  private final SpendRate otherClaims = new SpendRate();
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private ClaimRole role = ClaimRole.EVEN;
  private long limit;
  private long granted;
  private long available;
  private long reserved;
  private long spent;
  private long pendingReturn;
  private long returned;
  private long lent;
  private UsageLimit confirmed;
  private UsageLimit pending;
  private long firstGrantNanos;
  private boolean returnRequested;
  private boolean borrowing;
  private long loansRefusedNanos = Long.MIN_VALUE / 2;

  /** Limits the usage of this instance to what a usage report states, from the report's time on. */
  private record UsageLimit(UsageReport report, UsageReport.CustomerUsage usage) {
    /**
     * Returns how many more tokens may be used now. Tokens granted since the report are added to
     * the usage that the report allows.
     */
    long allowance(long granted, long used, long nowNanos) {
      return usage.maxUsed(nowNanos - report.nanos()) - used + granted - usage.grantedTokens();
    }
  }

  /**
   * A request that waits for a claim, or for a loan if one is in progress when the claim deadline
   * passes.
   *
   * @param tokens the tokens that the request needs
   * @param claimDeadlineNanos the deadline for a claim
   * @param loanDeadlineNanos the deadline for a loan
   * @param listener receives the outcome
   */
  record Waiter(
      long tokens,
      long claimDeadlineNanos,
      long loanDeadlineNanos,
      Consumer<ReserveOutcome> listener) {}

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

  void changeLimit(long newLimit) {
    limit = newLimit;
  }

  ClaimRole role() {
    return role;
  }

  void changeRole(ClaimRole newRole) {
    role = newRole;
  }

  long available() {
    return available;
  }

  /**
   * Returns whether this instance itself was granted all tokens that are claimed, so that no other
   * one holds any.
   *
   * @param claimed the claimed total of the customer
   */
  boolean holdsAll(long claimed) {
    return granted - returned - lent >= claimed;
  }

  long reserved() {
    return reserved;
  }

  long spent() {
    return spent;
  }

  /** Returns whether this instance ever held tokens of the customer. */
  boolean isUsed() {
    return granted > 0;
  }

  /** Adds an increase of the claimed total to the claim rate of this or the other instances. */
  void onClaimed(long tokens, boolean own, long nowNanos) {
    if (tokens > 0) {
      (own ? ownClaims : otherClaims).add(tokens, nowNanos);
    }
    if (tokens > 0 && !own && role == ClaimRole.HOLDER) {
      requestSize.add(tokens);
    }
  }

  /** Returns whether the usage rate has been observed for long enough to estimate the need. */
  boolean isRateKnown(long nowNanos) {
    return granted > 0 && nowNanos - firstGrantNanos > RATE_LEARNING_NANOS;
  }

  /**
   * Returns the share of this instance in the recent claims of all instances, 1 if there were none.
   */
  double claimShare(long nowNanos) {
    double ownRate = ownClaims.tokensPerSecond(nowNanos);
    double all = ownRate + otherClaims.tokensPerSecond(nowNanos);
    return all == 0 ? 1 : ownRate / all;
  }

  /** Returns the tokens a second that all instances claimed recently. */
  double fleetTokensPerSecond(long nowNanos) {
    return ownClaims.tokensPerSecond(nowNanos) + otherClaims.tokensPerSecond(nowNanos);
  }

  double tokensPerSecond(long nowNanos) {
    return rate.tokensPerSecond(nowNanos);
  }

  /** Reserves available tokens. Returns false if there are too few or the reports forbid it. */
  boolean reserve(long tokens, long nowNanos) {
    if (tokens > available || tokens > allowance(nowNanos)) {
      return false;
    }
    available -= tokens;
    reserved += tokens;
    requestSize.add(tokens);
    rate.add(tokens, nowNanos);
    checkBalance();
    return true;
  }

  /** Ends a reservation and makes its unused tokens available again. */
  void settle(long reservedTokens, long usedTokens, long nowNanos) {
    reserved -= reservedTokens;
    spent += usedTokens;
    available += reservedTokens - usedTokens;
    rate.add(usedTokens - reservedTokens, nowNanos);
    checkBalance();
  }

  void grant(long tokens, long nowNanos) {
    if (granted == 0) {
      firstGrantNanos = nowNanos;
    }
    granted += tokens;
    available += tokens;
    checkBalance();
  }

  /** Removes available tokens from use so that they can be returned to the ledger. */
  void scheduleReturn(long tokens) {
    available -= tokens;
    pendingReturn += tokens;
    checkBalance();
  }

  long pendingReturn() {
    return pendingReturn;
  }

  /**
   * Marks the tokens that are pending return as returned. Returns their number, 0 if there are none
   * or the usage reports do not allow it yet.
   */
  long takePendingReturn(long nowNanos) {
    if (pendingReturn == 0 || pendingReturn > allowance(nowNanos)) {
      return 0;
    }
    long tokens = pendingReturn;
    pendingReturn = 0;
    returned += tokens;
    checkBalance();
    return tokens;
  }

  /**
   * Lends available tokens to another instance. Returns false if there are too few or the usage
   * reports forbid it.
   */
  boolean lend(long tokens, long nowNanos) {
    if (tokens > available || tokens > allowance(nowNanos)) {
      return false;
    }
    available -= tokens;
    lent += tokens;
    checkBalance();
    return true;
  }

  /** Lends tokens that were reserved for the loan to another instance. */
  void lendReserved(long tokens) {
    reserved -= tokens;
    lent += tokens;
    checkBalance();
  }

  boolean isBorrowing() {
    return borrowing;
  }

  /** Returns whether the other instances recently lent less than was needed. */
  boolean areLoansRefused(long nowNanos) {
    return nowNanos - loansRefusedNanos < LOAN_RETRY_DELAY_NANOS;
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

  /** Marks tokens as pending return again after a conflicting write prevented their return. */
  void restorePendingReturn(long tokens) {
    returned -= tokens;
    pendingReturn += tokens;
    checkBalance();
  }

  /** Returns how many more tokens may be used now under the reports that apply. */
  long allowance(long nowNanos) {
    long allowance = Long.MAX_VALUE;
    if (confirmed != null) {
      allowance = confirmed.allowance(granted, used(), nowNanos);
    }
    if (pending != null) {
      allowance = Math.min(allowance, pending.allowance(granted, used(), nowNanos));
    }
    return allowance;
  }

  /**
   * Returns the usage to state in the next report.
   *
   * @param inherited the tokens that will be inherited once the report is written
   */
  UsageReport.CustomerUsage usage(long nowNanos, long inherited) {
    double claimShare = claimShare(nowNanos);
    long usual = BURST_MEAN_REQUESTS * requestSize.meanTokens();
    long burst = role.burst(usual, available, claimShare) + waitingTokens();
    double steady =
        role.steady(tokensPerSecond(nowNanos), fleetTokensPerSecond(nowNanos), claimShare);
    long perSecond = Math.max(0, (long) steady);
    long perOutageSecond = (long) (available / OUTAGE_SPEND_SECONDS);
    return new UsageReport.CustomerUsage(
        customer, granted + inherited, used() + pendingReturn, burst, perSecond, perOutageSecond);
  }

  private long waitingTokens() {
    return waiters.stream().mapToLong(Waiter::tokens).sum();
  }

  /** Applies the limits of a report that is about to be written and may reach the store. */
  void onReportPending(UsageReport report) {
    pending = usageLimit(report);
  }

  /** Replaces the limits of earlier reports by those of a report that is known to be written. */
  void onReportConfirmed(UsageReport report) {
    confirmed = usageLimit(report);
    pending = null;
  }

  /** Drops the limits of the latest report, which was not and never will be written. */
  void onReportDiscarded() {
    pending = null;
  }

  private UsageLimit usageLimit(UsageReport report) {
    return report.usages().stream()
        .filter(usage -> usage.customer().equals(customer))
        .findFirst()
        .map(usage -> new UsageLimit(report, usage))
        .orElse(null);
  }

  private long used() {
    return spent + reserved + returned + lent;
  }

  /**
   * Returns whether enough tokens are available for the first waiting request but the usage reports
   * do not allow it to use them yet.
   */
  boolean isBlockedByReport(long nowNanos) {
    Waiter first = waiters.peek();
    return first != null && first.tokens() <= available && first.tokens() > allowance(nowNanos);
  }

  void addWaiter(Waiter waiter) {
    waiters.add(waiter);
  }

  /**
   * Returns how many tokens more than are available the first waiting request needs, 0 if no
   * request waits.
   */
  long missingTokens() {
    Waiter first = waiters.peek();
    return first == null ? 0 : Math.max(0, first.tokens() - available);
  }

  /** Returns how many tokens more than are available all waiting requests need together. */
  long missingTokensOfAll() {
    return Math.max(0, waitingTokens() - available);
  }

  /**
   * Returns how many tokens more the first waiting request needs than are available and allowed by
   * the usage reports, 0 if no request waits.
   */
  long shortage(long nowNanos) {
    Waiter first = waiters.peek();
    return first == null
        ? 0
        : Math.max(0, first.tokens() - Math.min(available, allowance(nowNanos)));
  }

  boolean hasWaiters() {
    return !waiters.isEmpty();
  }

  void requestReturn() {
    returnRequested = true;
  }

  /**
   * Clears the request for a return and returns the tokens to return: all available tokens, or 0 if
   * no return was requested or requests are waiting.
   */
  long takeRequestedReturn() {
    if (!returnRequested) {
      return 0;
    }
    returnRequested = false;
    return waiters.isEmpty() ? available : 0;
  }

  /** Reserves tokens for the waiting requests in order until one cannot be served. */
  void serveWaiters(long nowNanos) {
    List<Waiter> served = new ArrayList<>();
    while (!waiters.isEmpty() && reserve(waiters.peek().tokens(), nowNanos)) {
      served.add(waiters.poll());
    }
    served.forEach(waiter -> waiter.listener().accept(ReserveOutcome.RESERVED));
  }

  /** Ends the wait of the first waiting request, if there is one, with the given outcome. */
  void refuseFirst(ReserveOutcome outcome) {
    Waiter first = waiters.poll();
    if (first != null) {
      first.listener().accept(outcome);
    }
  }

  /** Ends the wait of requests whose deadline has passed as unavailable. */
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
    boolean loanPending = borrowing && nowNanos - waiter.loanDeadlineNanos() < 0;
    return nowNanos - waiter.claimDeadlineNanos() >= 0 && !loanPending;
  }

  private void checkBalance() {
    boolean balanced = granted == available + reserved + spent + pendingReturn + returned + lent;
    if (!balanced || available < 0 || reserved < 0 || pendingReturn < 0) {
      throw SnipeloomException.of(
          ErrorCode.INVARIANT_VIOLATED,
          ("account of %s: granted %d, available %d, reserved %d, spent %d, "
                  + "pending return %d, returned %d, lent %d")
              .formatted(
                  customer, granted, available, reserved, spent, pendingReturn, returned, lent));
    }
  }
}

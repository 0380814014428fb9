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
 * <p>Each claimed token is available, reserved by a running request, spent, set aside for the
 * ledger or returned to it; the sum is checked after each change. Use never exceeds what the last
 * usage reports allow. Not thread-safe.
 */
final class CustomerAccount {
  /** Use between two reports: at least one request, and some time's use. */
  private static final long MIN_BURST_TOKENS = 4_000;

  private static final double BURST_SECONDS = 0.2;

  /** The share of the tokens in hand that an outage of the store never holds back. */
  private static final double BURST_OF_HAND = 0.5;

  /** The weight of a request in the mean size of requests. */
  private static final int MEAN_REQUESTS = 8;

  /** Use may grow this much faster than lately without an earlier report. */
  private static final double RATE_MARGIN = 2;

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
  private long meanRequest;
  private Binding confirmed;
  private Binding pending;
  private boolean returnWanted;

  /** A report that binds this instance from a moment on. */
  private record Binding(UsageReport report, UsageReport.Use use) {
    long room(long used, long nowNanos) {
      return use.mostUsed(nowNanos - report.nanos()) - used;
    }
  }

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

  void grant(long tokens) {
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

  /** Returns what may be used at once under the reports that bind this instance. */
  long room(long nowNanos) {
    long room = Long.MAX_VALUE;
    if (confirmed != null) {
      room = confirmed.room(used(), nowNanos);
    }
    if (pending != null) {
      room = Math.min(room, pending.room(used(), nowNanos));
    }
    return room;
  }

  /** Returns the statement for the next report, in which some more tokens are in hand. */
  UsageReport.Use state(long nowNanos, long inherited) {
    double perSecond = rate.tokensPerSecond(nowNanos);
    long burst = (long) Math.max(MIN_BURST_TOKENS, perSecond * BURST_SECONDS);
    burst = Math.max(burst, meanRequest + waitingTokens()) + (long) (available * BURST_OF_HAND);
    return new UsageReport.Use(
        customer, granted + inherited, used() + setAside, burst, (long) (perSecond * RATE_MARGIN));
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
    return spent + reserved + returned;
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
    boolean balanced = granted == available + reserved + spent + setAside + returned;
    if (!balanced || available < 0 || reserved < 0 || setAside < 0) {
      throw SnipeloomException.of(
          ErrorCode.INVARIANT_VIOLATED,
          "account of %s: granted %d, available %d, reserved %d, spent %d, aside %d, returned %d"
              .formatted(customer, granted, available, reserved, spent, setAside, returned));
    }
  }
}

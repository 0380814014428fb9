package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.stream.Stream;

/**
 * Reserves and settles the tokens of requests for all customers with prepaid totals.
 *
 * <p>Not thread-safe; confined to one event loop thread, which calls {@link #tick} regularly.
 */
public final class SpendControl {
  /** How long a request waits for a loan: a few round trips between availability zones. */
  private static final long LOAN_WAIT_NANOS = 100_000_000L;

  /** The time between two events that tell where the tokens of the customers are. */
  private static final long STATUS_INTERVAL_NANOS = 5_000_000_000L;

  private final String writer;
  private final LedgerStore store;
  private final LoanPeers peers;
  private final ClaimPeers claimPeers;
  private final ClaimInquiry inquiry;
  private final MachineClock clock;
  private final SpendEvents events;
  private final LedgerPartition[] partitions;
  private final Map<CustomerId, CustomerAccount> accounts = new HashMap<>();
  private final UsageReporter usageReporter;
  private ClaimPolicy policy;
  private CustomerHolders holders = CustomerHolders.ALONE;
  private boolean returning;
  private long lastStatusNanos = Long.MIN_VALUE / 2;
  private boolean storeAvailable = true;

  /**
   * Creates a spend control without customers.
   *
   * @param writer the name of this incarnation; must never be used by another incarnation
   * @param clock the monotonic clock of the machine, to which all times in nanoseconds refer
   * @param machine identifies the machine, whose processes have ended before another one of this
   *     instance starts on it; empty if unknown
   * @param fleetClock the clocks of the other instances, which bound the time of a loss of power
   * @param startNanos a time after the previous incarnation of this instance ended
   * @param store the ledger
   * @param usage the usage reports of this instance
   * @param partitions the number of partitions of the ledger
   * @param policy determines how many tokens are claimed ahead
   * @param peers the other instances, which lend tokens while none can be claimed
   * @param claimPeers the other instances, which remember claims that the store may have lost
   * @param events receives events of claims, returns and loans
   */
  public SpendControl(
      String writer,
      MachineClock clock,
      String machine,
      FleetClock fleetClock,
      long startNanos,
      LedgerStore store,
      UsageStore usage,
      int partitions,
      ClaimPolicy policy,
      LoanPeers peers,
      ClaimPeers claimPeers,
      SpendEvents events) {
    this.writer = writer;
    this.clock = clock;
    this.claimPeers = claimPeers;
    this.inquiry = new ClaimInquiry(claimPeers, events, this::onAnswer);
    this.peers = peers;
    this.store = store;
    this.partitions = new LedgerPartition[partitions];
    this.policy = policy;
    this.events = events;
    this.usageReporter =
        new UsageReporter(
            writer,
            clock,
            machine,
            fleetClock,
            startNanos,
            usage,
            events,
            accounts.values(),
            this::grantInherited);
  }

  /**
   * Changes the prepaid total of a customer, which is 0 at first.
   *
   * @param newLimit the prepaid total, in tokens
   */
  public void changeLimit(CustomerId customer, long newLimit) {
    accountOf(customer).changeLimit(newLimit);
  }

  private CustomerAccount accountOf(CustomerId customer) {
    CustomerAccount account = accounts.get(customer);
    if (account == null) {
      account = new CustomerAccount(customer, 0);
      account.changeRole(holders.roleOf(customer));
      accounts.put(customer, account);
      partitionOf(customer).add(account);
    }
    return account;
  }

  private void grantInherited(CustomerId customer, long tokens, long nowNanos) {
    accountOf(customer).grant(tokens, nowNanos);
  }

  /**
   * Sets whether the store is available, as seen by calls outside this class. While it is not,
   * requests that lack tokens borrow from other instances without waiting for a claim.
   *
   * @param available whether the store is available
   */
  public void setStoreAvailable(boolean available) {
    storeAvailable = available;
  }

  /**
   * Changes the policy for claiming tokens ahead.
   *
   * @param newPolicy the new policy
   */
  public void changePolicy(ClaimPolicy newPolicy) {
    policy = newPolicy;
    startedPartitions().forEach(partition -> partition.changePolicy(newPolicy));
  }

  /**
   * Changes which instances claim tokens ahead for the fleet.
   *
   * @param newHolders the holders of all customers
   */
  public void changeHolders(CustomerHolders newHolders) {
    if (!newHolders.equals(holders)) {
      holders = newHolders;
      accounts.values().forEach(account -> account.changeRole(holders.roleOf(account.customer())));
    }
  }

  /**
   * Reserves tokens for a request.
   *
   * @param customer a customer with a prepaid total
   * @param tokens the most tokens that the request can consume
   * @param nowNanos the current monotonic time
   * @param claimDeadlineNanos the deadline for a claim, until which the request may wait
   * @param listener receives the outcome, possibly before this method returns
   */
  public void reserve(
      CustomerId customer,
      long tokens,
      long nowNanos,
      long claimDeadlineNanos,
      Consumer<ReserveOutcome> listener) {
    CustomerAccount account = accounts.get(customer);
    if (!account.hasWaiters() && account.reserve(tokens, nowNanos)) {
      listener.accept(ReserveOutcome.RESERVED);
    } else if (tokens > account.limit()) {
      listener.accept(ReserveOutcome.EXHAUSTED);
    } else {
      account.addWaiter(
          new CustomerAccount.Waiter(
              tokens, claimDeadlineNanos, nowNanos + LOAN_WAIT_NANOS, listener));
    }
    if (account.isBlockedByReport(nowNanos)) {
      usageReporter.requestReport();
    }
    usageReporter.startCallIfDue(nowNanos);
    borrowIfShort(account, nowNanos);
    partitionOf(customer).startCallIfDue(nowNanos);
    account.refuseExpired(nowNanos);
  }

  private void borrowIfShort(CustomerAccount account, long nowNanos) {
    LedgerPartition partition = partitionOf(account.customer());
    long missing = missingFor(account, partition, nowNanos);
    if (missing == 0 || account.isBorrowing() || account.areLoansRefused(nowNanos)) {
      return;
    }
    account.startBorrowing();
    long missingOfAll = Math.max(missing, account.missingTokensOfAll());
    long wanted = LoanPolicy.wanted(missingOfAll, account.tokensPerSecond(nowNanos));
    LoanRequest request = new LoanRequest(account.customer(), missing, wanted);
    peers.borrow(request, new LoanReceiver(account, nowNanos));
  }

  /** Returns how many tokens the first waiting request needs from others; 0 if none. */
  private long missingFor(CustomerAccount account, LedgerPartition partition, long nowNanos) {
    if (!storeAvailable || partition.isAway()) {
      return account.shortage(nowNanos);
    }
    // Tokens that only the next report allows to be used are not missing while the store answers.
    return partition.isStalled(nowNanos) ? account.missingTokens() : partition.shortage(account);
  }

  /** Adds the tokens that other instances lend in response to one loan request. */
  private final class LoanReceiver implements LoanPeers.Listener {
    private final CustomerAccount account;
    private final long requestedNanos;

    LoanReceiver(CustomerAccount account, long requestedNanos) {
      this.account = account;
      this.requestedNanos = requestedNanos;
    }

    @Override
    public void onLent(long tokens) {
      account.grant(tokens, requestedNanos);
      events.onBorrowed(account.customer(), tokens);
      account.serveWaiters(requestedNanos);
      usageReporter.requestReport();
    }

    @Override
    public void onDone() {
      account.endBorrowing(account.shortage(requestedNanos) > 0, requestedNanos);
      account.refuseExpired(requestedNanos);
      partitionOf(account.customer()).startCallIfDue(requestedNanos);
    }
  }

  /**
   * Lends tokens to another instance, either from the available tokens or by a claim made for it.
   * While the store is available, this may wait for a usage report that allows it.
   *
   * @param request the request of the other instance
   * @param nowNanos the current monotonic time
   * @param listener receives the number of tokens lent, which belong to the other instance from
   *     then on; 0 if none
   */
  public void lend(LoanRequest request, long nowNanos, LongConsumer listener) {
    CustomerAccount account = accounts.get(request.customer());
    if (account == null) {
      listener.accept(0);
      return;
    }
    boolean refillable =
        storeAvailable
            && partitionOf(account.customer()).canClaim(account, request.wantedTokens(), nowNanos);
    long lendable = LoanPolicy.lent(account.role(), request, account.available(), refillable);
    if (refillable && Math.min(lendable, account.allowance(nowNanos)) < request.missingTokens()) {
      reserveAndLend(account, request.wantedTokens(), nowNanos, listener);
      return;
    }
    if (storeAvailable && lendable > account.allowance(nowNanos)) {
      reserveAndLend(account, lendable, nowNanos, listener);
      return;
    }
    long tokens = Math.max(0, Math.min(lendable, account.allowance(nowNanos)));
    completeLoan(account, account.lend(tokens, nowNanos) ? tokens : 0, listener);
  }

  /** Lends tokens once they have been claimed, if too few are available, and a report allows it. */
  private void reserveAndLend(
      CustomerAccount account, long tokens, long nowNanos, LongConsumer listener) {
    account.addWaiter(
        new CustomerAccount.Waiter(
            tokens,
            nowNanos + LOAN_WAIT_NANOS,
            nowNanos + LOAN_WAIT_NANOS,
            outcome -> {
              boolean reserved = outcome == ReserveOutcome.RESERVED;
              if (reserved) {
                account.lendReserved(tokens);
              }
              completeLoan(account, reserved ? tokens : 0, listener);
            }));
    if (account.isBlockedByReport(nowNanos)) {
      usageReporter.requestReport();
      usageReporter.startCallIfDue(nowNanos);
    }
    partitionOf(account.customer()).startCallIfDue(nowNanos);
  }

  private void completeLoan(CustomerAccount account, long tokens, LongConsumer listener) {
    if (tokens > 0) {
      events.onLent(account.customer(), tokens);
    }
    listener.accept(tokens);
  }

  /**
   * Ends a reservation.
   *
   * @param reservedTokens the tokens that were reserved
   * @param usedTokens the tokens that were consumed; any beyond the reserved tokens are ignored
   * @param nowNanos the current monotonic time
   */
  public void settle(CustomerId customer, long reservedTokens, long usedTokens, long nowNanos) {
    CustomerAccount account = accounts.get(customer);
    account.settle(reservedTokens, Math.min(usedTokens, reservedTokens), nowNanos);
    account.serveWaiters(nowNanos);
    if (returning) {
      account.requestReturn();
    }
  }

  /**
   * Serves or expires waiting requests and starts loans, reports and ledger calls that are due.
   *
   * @param nowNanos the current monotonic time
   */
  public void tick(long nowNanos) {
    for (CustomerAccount account : accounts.values()) {
      account.serveWaiters(nowNanos);
      borrowIfShort(account, nowNanos);
      account.refuseExpired(nowNanos);
    }
    inquiry.tick(nowNanos);
    usageReporter.startCallIfDue(nowNanos);
    startedPartitions().forEach(partition -> partition.startCallIfDue(nowNanos));
    if (nowNanos - lastStatusNanos >= STATUS_INTERVAL_NANOS) {
      lastStatusNanos = nowNanos;
      tellStatus(nowNanos);
    }
  }

  private void tellStatus(long nowNanos) {
    for (CustomerAccount account : accounts.values()) {
      if (account.isUsed()) {
        events.onStatus(account.customer(), status(account.customer(), nowNanos));
      }
    }
  }

  /**
   * Starts to return all available tokens to the ledger, now and whenever a reservation ends, and
   * stops claiming ahead.
   *
   * @param nowNanos the current monotonic time
   */
  public void returnAll(long nowNanos) {
    returning = true;
    changePolicy(new ClaimPolicy(0, policy.fleetSize()));
    accounts.values().forEach(CustomerAccount::requestReturn);
    usageReporter.requestReport();
    tick(nowNanos);
  }

  /**
   * Returns whether all calls to the store have completed and no write is pending.
   *
   * @return true if all scheduled returns and requested reports have been written
   */
  public boolean isSettled() {
    return usageReporter.isSettled()
        && startedPartitions().stream().allMatch(LedgerPartition::isSettled);
  }

  /**
   * Returns the figures that decide whether requests of a customer can be reserved.
   *
   * @param customer a customer with a prepaid total
   * @param nowNanos the current monotonic time
   */
  public SpendStatus status(CustomerId customer, long nowNanos) {
    CustomerAccount account = accountOf(customer);
    return partitionOf(customer).status(account, nowNanos);
  }

  /**
   * Records an era of the store that another instance knows, and returns the claims that this one
   * knows. Claims that the store acknowledged in an earlier era are all among them, since later
   * acknowledgements of such an era do not count.
   *
   * @param era the era
   * @param nowNanos the current monotonic time
   */
  public List<CustomerPart> tellClaims(long era, long nowNanos) {
    store.onEra(era);
    return startedPartitions().stream()
        .flatMap(partition -> partition.recentParts(nowNanos).stream())
        .toList();
  }

  private void onAnswer(List<CustomerPart> parts, long nowNanos) {
    parts.forEach(told -> partitionOf(told.customer()).onAnswer(told, nowNanos));
  }

  /**
   * Remembers claims that another instance has just made.
   *
   * @param parts the claims
   * @param nowNanos the current monotonic time
   */
  public void onNotice(List<CustomerPart> parts, long nowNanos) {
    parts.forEach(told -> partitionOf(told.customer()).onNotice(told, nowNanos));
  }

  private List<LedgerPartition> startedPartitions() {
    return Stream.of(partitions).filter(Objects::nonNull).toList();
  }

  private LedgerPartition partitionOf(CustomerId customer) {
    int number = Math.floorMod(customer.value().hashCode(), partitions.length);
    if (partitions[number] == null) {
      partitions[number] =
          new LedgerPartition(
              number, writer, store, policy, events, usageReporter, inquiry, claimPeers, clock);
    }
    return partitions[number];
  }
}

package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Reserves and settles the tokens of requests for all customers with prepaid totals.
 *
 * <p>Not thread-safe; belongs to one event loop, which calls {@link #tick} regularly.
 */
public final class SpendControl {
  /** How long a request waits for a loan; a few round trips between availability zones. */
  private static final long LOAN_WAIT_NANOS = 100_000_000L;

  private final String writer;
  private final LedgerStore store;
  private final LoanPeers peers;
  private final SpendEvents events;
  private final LedgerPartition[] partitions;
  private final Map<CustomerId, CustomerAccount> accounts = new HashMap<>();
  private final UsageJournal journal;
  private ClaimPolicy policy;
  private boolean returning;
  private boolean storeReachable = true;

  /**
   * Creates a control without customers.
   *
   * @param writer names this incarnation; no other one ever has the same name
   * @param clock identifies the clock of the machine, which all times are of
   * @param startNanos a time after the end of the incarnation before
   * @param store the ledger
   * @param usage the usage reports of this instance
   * @param partitions the number of partitions of the ledger
   * @param policy how much is claimed ahead
   * @param peers the other instances, which lend tokens while none can be claimed
   * @param events takes note of claims
   */
  public SpendControl(
      String writer,
      MachineClock clock,
      long startNanos,
      LedgerStore store,
      UsageStore usage,
      int partitions,
      ClaimPolicy policy,
      LoanPeers peers,
      SpendEvents events) {
    this.writer = writer;
    this.peers = peers;
    this.store = store;
    this.partitions = new LedgerPartition[partitions];
    this.policy = policy;
    this.events = events;
    this.journal =
        new UsageJournal(
            writer, clock, startNanos, usage, events, accounts.values(), this::inherit);
  }

  /**
   * Sets the prepaid total of a customer.
   *
   * @param customer the customer
   * @param tokens the total
   */
  public void limit(CustomerId customer, long tokens) {
    accountOf(customer).limitTo(tokens);
  }

  private CustomerAccount accountOf(CustomerId customer) {
    CustomerAccount account = accounts.get(customer);
    if (account == null) {
      account = new CustomerAccount(customer, 0);
      accounts.put(customer, account);
      partitionOf(customer).add(account);
    }
    return account;
  }

  private void inherit(CustomerId customer, long tokens, long nowNanos) {
    accountOf(customer).grant(tokens, nowNanos);
  }

  /**
   * Takes note of whether the store answers other calls; while it does not, no claim is tried
   * first.
   *
   * @param reachable whether it answers
   */
  public void storeReachable(boolean reachable) {
    storeReachable = reachable;
  }

  /**
   * Changes how much is claimed ahead.
   *
   * @param newPolicy the policy
   */
  public void changePolicy(ClaimPolicy newPolicy) {
    policy = newPolicy;
    for (LedgerPartition partition : partitions) {
      if (partition != null) {
        partition.changePolicy(newPolicy);
      }
    }
  }

  /**
   * Reserves tokens for a request.
   *
   * @param customer a customer with a prepaid total
   * @param tokens the most tokens that the request can consume
   * @param nowNanos the time
   * @param untilNanos the time until which the request may wait for a claim
   * @param listener takes the outcome, at once or later
   */
  public void reserve(
      CustomerId customer,
      long tokens,
      long nowNanos,
      long untilNanos,
      Consumer<ReserveOutcome> listener) {
    CustomerAccount account = accounts.get(customer);
    if (!account.hasWaiters() && account.reserve(tokens, nowNanos)) {
      listener.accept(ReserveOutcome.RESERVED);
    } else if (tokens > account.limit()) {
      listener.accept(ReserveOutcome.EXHAUSTED);
    } else {
      account.await(
          new CustomerAccount.Waiter(tokens, untilNanos, nowNanos + LOAN_WAIT_NANOS, listener));
    }
    if (account.waitsForReport(nowNanos)) {
      journal.hurry();
    }
    journal.pump(nowNanos);
    borrowIfShort(account, nowNanos);
    partitionOf(customer).pump(nowNanos);
    account.refuseExpired(nowNanos);
  }

  private void borrowIfShort(CustomerAccount account, long nowNanos) {
    LedgerPartition partition = partitionOf(account.customer());
    boolean stalled = !storeReachable || partition.isStalled(nowNanos);
    long missing = stalled ? account.shortage(nowNanos) : partition.shortage(account);
    if (missing == 0 || account.isBorrowing() || account.areLoansRefused(nowNanos)) {
      return;
    }
    account.startBorrowing();
    long wanted = LoanPolicy.wanted(missing, account.tokensPerSecond(nowNanos));
    LoanRequest request = new LoanRequest(account.customer(), missing, wanted);
    peers.borrow(request, new Borrowing(account, nowNanos));
  }

  /** Takes what the other instances lend for one request. */
  private final class Borrowing implements LoanPeers.Listener {
    private final CustomerAccount account;
    private final long askedNanos;

    Borrowing(CustomerAccount account, long askedNanos) {
      this.account = account;
      this.askedNanos = askedNanos;
    }

    @Override
    public void onLent(long tokens) {
      account.grant(tokens, askedNanos);
      events.onBorrowed(account.customer(), tokens);
      account.serveWaiters(askedNanos);
      journal.hurry();
    }

    @Override
    public void onDone() {
      account.endBorrowing(account.shortage(askedNanos) > 0, askedNanos);
      account.refuseExpired(askedNanos);
      partitionOf(account.customer()).pump(askedNanos);
    }
  }

  /**
   * Lends tokens to another instance, from the hand or from a claim made for it.
   *
   * @param request what the other instance asks for
   * @param nowNanos the time
   * @param listener takes the tokens that are the other instance's from then on; 0 if none
   */
  public void lend(LoanRequest request, long nowNanos, LongConsumer listener) {
    CustomerAccount account = accounts.get(request.customer());
    if (account == null) {
      listener.accept(0);
      return;
    }
    boolean refillable =
        storeReachable
            && partitionOf(account.customer()).canClaim(account, request.wantedTokens(), nowNanos);
    long tokens = LoanPolicy.lent(request, account.available(), refillable);
    tokens = Math.max(0, Math.min(tokens, account.room(nowNanos)));
    if (refillable && tokens < request.missingTokens()) {
      claimAndLend(account, request.wantedTokens(), nowNanos, listener);
      return;
    }
    handOver(account, account.lend(tokens, nowNanos) ? tokens : 0, listener);
  }

  private void claimAndLend(
      CustomerAccount account, long tokens, long nowNanos, LongConsumer listener) {
    account.await(
        new CustomerAccount.Waiter(
            tokens,
            nowNanos + LOAN_WAIT_NANOS,
            nowNanos + LOAN_WAIT_NANOS,
            outcome -> {
              boolean reserved = outcome == ReserveOutcome.RESERVED;
              if (reserved) {
                account.lendReserved(tokens);
              }
              handOver(account, reserved ? tokens : 0, listener);
            }));
    if (account.waitsForReport(nowNanos)) {
      journal.hurry();
      journal.pump(nowNanos);
    }
    partitionOf(account.customer()).pump(nowNanos);
  }

  private void handOver(CustomerAccount account, long tokens, LongConsumer listener) {
    if (tokens > 0) {
      events.onLent(account.customer(), tokens);
    }
    listener.accept(tokens);
  }

  /**
   * Ends a reservation.
   *
   * @param customer the customer
   * @param reservedTokens the tokens that were reserved
   * @param usedTokens the tokens that were consumed, at most those reserved
   * @param nowNanos the time
   */
  public void settle(CustomerId customer, long reservedTokens, long usedTokens, long nowNanos) {
    CustomerAccount account = accounts.get(customer);
    account.settle(reservedTokens, Math.min(usedTokens, reservedTokens), nowNanos);
    account.serveWaiters(nowNanos);
    if (returning) {
      account.wantReturn();
    }
  }

  /**
   * Does what is due.
   *
   * @param nowNanos the time
   */
  public void tick(long nowNanos) {
    for (CustomerAccount account : accounts.values()) {
      account.serveWaiters(nowNanos);
      borrowIfShort(account, nowNanos);
      account.refuseExpired(nowNanos);
    }
    journal.pump(nowNanos);
    for (LedgerPartition partition : partitions) {
      if (partition != null) {
        partition.pump(nowNanos);
      }
    }
  }

  /**
   * Returns all tokens in hand to the ledger, now and as reservations end.
   *
   * @param nowNanos the time
   */
  public void returnAll(long nowNanos) {
    returning = true;
    changePolicy(new ClaimPolicy(0, policy.fleetSize()));
    accounts.values().forEach(CustomerAccount::wantReturn);
    journal.hurry();
    tick(nowNanos);
  }

  /**
   * Returns whether no write is under way.
   *
   * @return true if the ledger knows all that this instance wanted it to know
   */
  public boolean isSettled() {
    for (LedgerPartition partition : partitions) {
      if (partition != null && !partition.isSettled()) {
        return false;
      }
    }
    return journal.isSettled();
  }

  /**
   * Returns what decides about reservations of a customer.
   *
   * @param customer a customer with a prepaid total
   * @param nowNanos the time
   * @return the standing
   */
  public SpendStatus status(CustomerId customer, long nowNanos) {
    CustomerAccount account = accountOf(customer);
    return partitionOf(customer).status(account, nowNanos);
  }

  private LedgerPartition partitionOf(CustomerId customer) {
    int number = Math.floorMod(customer.value().hashCode(), partitions.length);
    if (partitions[number] == null) {
      partitions[number] = new LedgerPartition(number, writer, store, policy, events, journal);
    }
    return partitions[number];
  }
}

package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reserves and settles the tokens of requests for all customers with prepaid totals.
 *
 * <p>Not thread-safe; belongs to one event loop, which calls {@link #tick} regularly.
 */
public final class SpendControl {
  private final String writer;
  private final LedgerStore store;
  private final SpendEvents events;
  private final LedgerPartition[] partitions;
  private final Map<CustomerId, CustomerAccount> accounts = new HashMap<>();
  private final UsageJournal journal;
  private ClaimPolicy policy;
  private boolean returning;

  /**
   * Creates a control without customers.
   *
   * @param writer names this incarnation; no other one ever has the same name
   * @param clock identifies the clock of the machine, which all times are of
   * @param store the ledger
   * @param usage the usage reports of this instance
   * @param partitions the number of partitions of the ledger
   * @param policy how much is claimed ahead
   * @param events takes note of claims
   */
  public SpendControl(
      String writer,
      MachineClock clock,
      LedgerStore store,
      UsageStore usage,
      int partitions,
      ClaimPolicy policy,
      SpendEvents events) {
    this.writer = writer;
    this.store = store;
    this.partitions = new LedgerPartition[partitions];
    this.policy = policy;
    this.events = events;
    this.journal = new UsageJournal(writer, clock, usage, events, accounts.values(), this::inherit);
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

  private void inherit(CustomerId customer, long tokens) {
    accountOf(customer).grant(tokens);
  }

  /**
   * Changes how much is claimed ahead.
   *
   * @param newPolicy the policy
   */
  public void use(ClaimPolicy newPolicy) {
    policy = newPolicy;
    for (LedgerPartition partition : partitions) {
      if (partition != null) {
        partition.use(newPolicy);
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
      account.await(new CustomerAccount.Waiter(tokens, untilNanos, listener));
    }
    if (account.waitsForReport(nowNanos)) {
      journal.hurry();
    }
    journal.pump(nowNanos);
    partitionOf(customer).pump(nowNanos);
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
    use(new ClaimPolicy(0, policy.fleetSize()));
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
  public SpendStanding standing(CustomerId customer, long nowNanos) {
    CustomerAccount account = accountOf(customer);
    return partitionOf(customer).standing(account, nowNanos);
  }

  private LedgerPartition partitionOf(CustomerId customer) {
    int number = Math.floorMod(customer.value().hashCode(), partitions.length);
    if (partitions[number] == null) {
      partitions[number] =
          new LedgerPartition(number, writer, store, policy, events, journal::hurry);
    }
    return partitions[number];
  }
}

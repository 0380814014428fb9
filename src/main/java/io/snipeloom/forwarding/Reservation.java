package io.snipeloom.forwarding;

import io.snipeloom.routing.Prompt;
import io.snipeloom.spend.ReserveOutcome;
import io.snipeloom.spend.SpendStatus;
import io.snipeloom.state.CustomerId;
import java.util.function.Consumer;

/**
 * The prepaid tokens that are reserved for one request: at first the maximum that it can consume,
 * after settlement what it consumed. Confined to the event loop thread.
 */
final class Reservation {
  /** How long a request may wait for tokens to be claimed; several round trips to the store. */
  private static final long MAX_WAIT_NANOS = 400_000_000L;

  private final Fleet fleet;
  private final CustomerId customer;
  private final Prompt prompt;
  private boolean reserved;
  private boolean ended;

  Reservation(Fleet fleet, CustomerId customer, Prompt prompt) {
    this.fleet = fleet;
    this.customer = customer;
    this.prompt = prompt;
  }

  CustomerId customer() {
    return customer;
  }

  long tokens() {
    return prompt.maxTokens();
  }

  SpendStatus status() {
    return fleet.spend().status(customer, System.nanoTime());
  }

  /** Requests the tokens. The listener is not called after the reservation has been settled. */
  void request(Consumer<ReserveOutcome> listener) {
    long now = System.nanoTime();
    long deadlineNanos = fleet.isStoreAvailable() ? now + MAX_WAIT_NANOS : now;
    fleet
        .spend()
        .reserve(customer, tokens(), now, deadlineNanos, outcome -> onOutcome(outcome, listener));
  }

  private void onOutcome(ReserveOutcome outcome, Consumer<ReserveOutcome> listener) {
    boolean granted = outcome == ReserveOutcome.RESERVED;
    if (ended) {
      if (granted) {
        fleet.spend().settle(customer, tokens(), 0, System.nanoTime());
      }
      return;
    }
    reserved = granted;
    listener.accept(outcome);
  }

  /** Settles the reservation of a request that no replica executed. */
  long settleUnused() {
    return settle(0);
  }

  /**
   * Settles the reservation of a request that may have been executed, and returns the tokens
   * counted as consumed.
   */
  long settleExecuted(long outputTokens) {
    return settle(prompt.inputTokens() + Math.min(prompt.maxOutputTokens(), outputTokens));
  }

  private long settle(long consumedTokens) {
    ended = true;
    if (!reserved) {
      return 0;
    }
    reserved = false;
    fleet.spend().settle(customer, tokens(), consumedTokens, System.nanoTime());
    return consumedTokens;
  }
}

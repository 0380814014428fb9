package io.snipeloom.forwarding;

import io.snipeloom.routing.Prompt;
import io.snipeloom.spend.ReserveOutcome;
import io.snipeloom.spend.SpendStatus;
import io.snipeloom.state.CustomerId;
import java.util.function.Consumer;

/**
 * The tokens that one request holds of its customer's prepaid total: all that it can consume until
 * it ends, then what it did. Belongs to the event loop of its exchange.
 */
final class Reservation {
  /** How long a request may wait for its tokens to be claimed; several round trips of the store. */
  private static final long WAIT_NANOS = 400_000_000L;

  private final Fleet fleet;
  private final CustomerId customer;
  private final Prompt prompt;
  private boolean held;
  private boolean abandoned;

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

  SpendStatus standing() {
    return fleet.spend().status(customer, System.nanoTime());
  }

  /** Asks for the tokens; the listener is not called any more once the request has ended. */
  void request(Consumer<ReserveOutcome> listener) {
    long now = System.nanoTime();
    long until = fleet.isStoreReachable() ? now + WAIT_NANOS : now;
    fleet.spend().reserve(customer, tokens(), now, until, outcome -> take(outcome, listener));
  }

  private void take(ReserveOutcome outcome, Consumer<ReserveOutcome> listener) {
    boolean reserved = outcome == ReserveOutcome.RESERVED;
    if (abandoned) {
      if (reserved) {
        fleet.spend().settle(customer, tokens(), 0, System.nanoTime());
      }
      return;
    }
    held = reserved;
    listener.accept(outcome);
  }

  /** Ends the reservation of a request that no replica ran. */
  long settleUnused() {
    return settle(0);
  }

  /** Ends the reservation of a request that may have run, and returns the tokens it consumed. */
  long settleRun(long outputTokens) {
    return settle(prompt.inputTokens() + Math.min(prompt.maxOutputTokens(), outputTokens));
  }

  private long settle(long used) {
    abandoned = true;
    if (!held) {
      return 0;
    }
    held = false;
    fleet.spend().settle(customer, tokens(), used, System.nanoTime());
    return used;
  }
}

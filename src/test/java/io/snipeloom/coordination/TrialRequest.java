package io.snipeloom.coordination;

import io.snipeloom.state.CustomerId;
import io.snipeloom.state.RequestClass;

/** One request of a trace, with what became of it. */
final class TrialRequest {
  final long arrival;
  final int router;
  final CustomerId customer;
  final RequestClass requestClass;
  final PrefixChain prefix;
  final int tokens;
  final long plainNanos;
  int attempts;
  long sent;
  long firstToken = -1;
  long end = -1;
  boolean refused;
  boolean falselyRefused;
  int cachedBlocks;

  TrialRequest(
      long arrival,
      int router,
      CustomerId customer,
      RequestClass requestClass,
      PrefixChain prefix,
      int tokens,
      long plainNanos) {
    this.arrival = arrival;
    this.router = router;
    this.customer = customer;
    this.requestClass = requestClass;
    this.prefix = prefix;
    this.tokens = tokens;
    this.plainNanos = plainNanos;
  }

  long deadline() {
    return arrival + requestClass.deadlineMillis() * TrialClock.MILLI;
  }

  boolean isGood() {
    return end >= 0 && end <= deadline();
  }
}

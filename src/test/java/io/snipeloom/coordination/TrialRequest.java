package io.snipeloom.coordination;

import io.snipeloom.state.CustomerId;
import io.snipeloom.state.RequestClass;

/**
 * A request of a trace and its outcome. Times are in nanoseconds of the virtual clock; the times of
 * the first token and of the end are -1 until reached.
 */
final class TrialRequest {
  final long arrivalNanos;
  final int routerIndex;
  final CustomerId customer;
  final RequestClass requestClass;
  final PrefixChain prefix;
  final int outputTokens;
  final long serviceNanos;
  int attempts;
  long sentNanos;
  long firstTokenNanos = -1;
  long endNanos = -1;
  boolean refused;
  boolean falselyRefused;
  int cachedBlocks;

  TrialRequest(
      long arrivalNanos,
      int routerIndex,
      CustomerId customer,
      RequestClass requestClass,
      PrefixChain prefix,
      int outputTokens,
      long serviceNanos) {
    this.arrivalNanos = arrivalNanos;
    this.routerIndex = routerIndex;
    this.customer = customer;
    this.requestClass = requestClass;
    this.prefix = prefix;
    this.outputTokens = outputTokens;
    this.serviceNanos = serviceNanos;
  }

  long deadlineNanos() {
    return arrivalNanos + requestClass.deadlineMillis() * VirtualClock.MILLI;
  }

  boolean isGood() {
    return endNanos >= 0 && endNanos <= deadlineNanos();
  }
}

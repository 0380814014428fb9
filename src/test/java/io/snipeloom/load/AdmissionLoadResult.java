package io.snipeloom.load;

import io.snipeloom.load.AdmissionLoad.Call;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** What came of the calls of a play. */
record AdmissionLoadResult(List<Call> calls) {
  private static final double LATE_VALUE = 0.15;
  private static final int SLICE_MILLIS = 200;

  /** The share of some calls that were served at all. */
  double served(Predicate<Call> which) {
    return share(which, Call::isServed);
  }

  /** The share of some calls that were served and began within their target. */
  double inTime(Predicate<Call> which) {
    return share(which, Call::isInTime);
  }

  /** The share of some calls that were refused and not served later. */
  double refused(Predicate<Call> which) {
    return share(which, call -> call.refused);
  }

  /** What callers got: 1 for each call in time and a little for a late one. */
  double value() {
    return inTime(call -> true) + LATE_VALUE * (served(call -> true) - inTime(call -> true));
  }

  /** How often the largest tenth of a kind is served, as a part of how often the kind is. */
  double largestServed(AdmissionLoad.Kind kind) {
    List<Call> sorted =
        calls.stream()
            .filter(call -> call.kind.equals(kind))
            .sorted(Comparator.comparingDouble(call -> call.size))
            .toList();
    double limit = sorted.get(sorted.size() * 9 / 10).size;
    return served(call -> call.kind.equals(kind) && call.size >= limit)
        / served(call -> call.kind.equals(kind));
  }

  /** How often the worst-served customer is served, as a part of how often all are. */
  double worstCustomerServed() {
    double worst = 1;
    for (int customer = 0; customer < 24; customer++) {
      int one = customer;
      worst = Math.min(worst, served(call -> call.customer == one));
    }
    return worst / served(call -> true);
  }

  /**
   * The largest jump of the share of the calls that are refused at first, from one slice of 200 ms
   * to the one after the next.
   */
  double largestSwing(double fromMillis, double untilMillis) {
    int slices = (int) (untilMillis / SLICE_MILLIS);
    double largest = 0;
    for (int i = (int) (fromMillis / SLICE_MILLIS); i + 2 < slices; i++) {
      largest = Math.max(largest, Math.abs(refusedIn(i + 2) - refusedIn(i)));
    }
    return largest;
  }

  /** The share of some calls that were refused once at least. */
  double refusedAtFirst(Predicate<Call> which) {
    return calls.stream().noneMatch(which)
        ? 0
        : share(which, call -> call.attempts > 1 || call.refused);
  }

  private double refusedIn(int slice) {
    return refusedAtFirst(call -> (int) (call.startMillis / SLICE_MILLIS) == slice);
  }

  private double share(Predicate<Call> which, Predicate<Call> counted) {
    long all = calls.stream().filter(which).count();
    return all == 0 ? 1 : (double) calls.stream().filter(which).filter(counted).count() / all;
  }
}

package io.snipeloom.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;

/**
 * The requests of one or more runs and the figures derived from them.
 *
 * @param spanNanos the total time during which the requests arrived
 */
record TrialResult(List<TrialRequest> requests, long spanNanos) {

  static TrialResult pooled(List<TrialResult> runs) {
    List<TrialRequest> all = new ArrayList<>();
    runs.forEach(run -> all.addAll(run.requests()));
    return new TrialResult(all, runs.stream().mapToLong(TrialResult::spanNanos).sum());
  }

  /**
   * Returns the time to first token of a request class at a quantile, in milliseconds. Requests
   * that received no token are left out; NaN if there are no others.
   */
  double timeToFirstTokenMillis(String requestClass, double quantile) {
    long[] times =
        requests.stream()
            .filter(r -> r.firstTokenNanos >= 0)
            .filter(r -> r.requestClass.id().value().equals(requestClass))
            .mapToLong(r -> r.firstTokenNanos - r.arrivalNanos)
            .sorted()
            .toArray();
    if (times.length == 0) {
      return Double.NaN;
    }
    int index = Math.min(times.length - 1, (int) (quantile * times.length));
    return times[index] / (double) VirtualClock.MILLI;
  }

  double goodputPerSecond() {
    return count(TrialRequest::isGood) / (spanNanos / (double) VirtualClock.SECOND);
  }

  double goodShare(Predicate<TrialRequest> filter) {
    long all = count(filter);
    return all == 0 ? 1 : count(filter.and(TrialRequest::isGood)) / (double) all;
  }

  double falseRefusalShare() {
    return count(r -> r.falselyRefused) / (double) requests.size();
  }

  double refusedShare() {
    return count(r -> r.refused) / (double) requests.size();
  }

  double attemptsPerRequest() {
    long first = count(r -> r.attempts > 0);
    long attempts = requests.stream().mapToLong(r -> r.attempts).sum();
    return first == 0 ? 1 : attempts / (double) first;
  }

  double cacheHitShare() {
    long cached = requests.stream().mapToLong(r -> r.cachedBlocks).sum();
    long blocks =
        requests.stream()
            .filter(r -> r.firstTokenNanos >= 0)
            .mapToLong(r -> r.prefix.length())
            .sum();
    return blocks == 0 ? 0 : cached / (double) blocks;
  }

  String row(String label, String requestClass) {
    return String.format(
        Locale.ROOT,
        "| %s | %s | %.0f | %.0f | %.0f | %.2f | %.2f%% | %.2f%% | %.3f | %.1f%% |",
        label,
        requestClass,
        timeToFirstTokenMillis(requestClass, 0.5),
        timeToFirstTokenMillis(requestClass, 0.95),
        timeToFirstTokenMillis(requestClass, 0.99),
        goodputPerSecond(),
        100 * refusedShare(),
        100 * falseRefusalShare(),
        attemptsPerRequest(),
        100 * cacheHitShare());
  }

  private long count(Predicate<TrialRequest> filter) {
    return requests.stream().filter(filter).count();
  }
}

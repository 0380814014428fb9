package io.snipeloom.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;

/** The figures of one run. */
record TrialResult(List<TrialRequest> requests, long spanNanos) {

  static TrialResult pooled(List<TrialResult> runs) {
    List<TrialRequest> all = new ArrayList<>();
    runs.forEach(run -> all.addAll(run.requests()));
    return new TrialResult(all, runs.stream().mapToLong(TrialResult::spanNanos).sum());
  }

  /**
   * The first-token time of a class at a quantile, in milliseconds; refused requests are left out.
   */
  double firstTokenMillis(String requestClass, double quantile) {
    long[] times =
        requests.stream()
            .filter(r -> r.firstToken >= 0)
            .filter(r -> r.requestClass.id().value().equals(requestClass))
            .mapToLong(r -> r.firstToken - r.arrival)
            .sorted()
            .toArray();
    if (times.length == 0) {
      return Double.NaN;
    }
    int index = Math.min(times.length - 1, (int) (quantile * times.length));
    return times[index] / (double) TrialClock.MILLI;
  }

  double goodputPerSecond() {
    return count(TrialRequest::isGood) / (spanNanos / (double) TrialClock.SECOND);
  }

  double goodShare(Predicate<TrialRequest> which) {
    long all = count(which);
    return all == 0 ? 1 : count(which.and(TrialRequest::isGood)) / (double) all;
  }

  double falseRefusalShare() {
    return count(r -> r.falselyRefused) / (double) requests.size();
  }

  double refusedShare() {
    return count(r -> r.refused) / (double) requests.size();
  }

  double amplification() {
    long first = count(r -> r.attempts > 0);
    long attempts = requests.stream().mapToLong(r -> r.attempts).sum();
    return first == 0 ? 1 : attempts / (double) first;
  }

  double hitShare() {
    long cached = requests.stream().mapToLong(r -> r.cachedBlocks).sum();
    long blocks =
        requests.stream().filter(r -> r.firstToken >= 0).mapToLong(r -> r.prefix.length()).sum();
    return blocks == 0 ? 0 : cached / (double) blocks;
  }

  String row(String label, String requestClass) {
    return String.format(
        Locale.ROOT,
        "| %s | %s | %.0f | %.0f | %.0f | %.2f | %.2f%% | %.2f%% | %.3f | %.1f%% |",
        label,
        requestClass,
        firstTokenMillis(requestClass, 0.5),
        firstTokenMillis(requestClass, 0.95),
        firstTokenMillis(requestClass, 0.99),
        goodputPerSecond(),
        100 * refusedShare(),
        100 * falseRefusalShare(),
        amplification(),
        100 * hitShare());
  }

  private long count(Predicate<TrialRequest> which) {
    return requests.stream().filter(which).count();
  }
}

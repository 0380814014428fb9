package io.snipeloom.cost;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates what requests cost from what earlier ones like it generated.
 *
 * <p>The output is learned by route, customer and size of the prompt; a key with too few
 * observations falls back to a coarser one. The estimate of the caller, if it states one, is
 * weighed against them by how well earlier estimates of the customer matched. The number of keys is
 * bounded; the one unused for longest yields. Not thread-safe.
 */
public final class CostEstimator {
  /** The observations from which a key is used instead of a coarser one. */
  private static final int MIN_SAMPLES = 8;

  /** The most keys; about 2 MB of sketches. */
  private static final int MAX_KEYS = 512;

  /** The number of standard deviations that few requests exceed: nine in ten stay below. */
  private static final double HIGH_DEVIATIONS = 1.28;

  /** The assumed spread of the output of a key without observations: a factor of about 4. */
  private static final double UNKNOWN_DEVIATION = 1.4;

  /** The assumed output of a key without observations, as a part of the stated maximum. */
  private static final double UNKNOWN_SHARE = 0.25;

  private final Map<Key, OutputSketch> sketches = leastRecentlyUsed();
  private final Map<String, HintAccuracy> hints = leastRecentlyUsed();

  private record Key(String route, String customer, int sizeClass) {
    private static final int ANY_SIZE = -1;

    Key withoutSize() {
      return new Key(route, customer, ANY_SIZE);
    }

    Key withoutCustomer() {
      return new Key(route, "", ANY_SIZE);
    }
  }

  private static <K, V> Map<K, V> leastRecentlyUsed() {
    return new LinkedHashMap<>(64, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > MAX_KEYS;
      }
    };
  }

  /**
   * Estimates the cost of a request.
   *
   * @param kind what is known of the request
   * @return the cost
   */
  public RequestCost estimate(RequestKind kind) {
    OutputSketch sketch = sketchFor(kind);
    double median = sketch == null ? kind.maxOutputTokens() * UNKNOWN_SHARE : sketch.median();
    double deviation = sketch == null ? UNKNOWN_DEVIATION : sketch.deviation();
    double logOutput = Math.log(Math.max(1, median));
    double variance = deviation * deviation;
    if (kind.hintTokens().isPresent()) {
      HintAccuracy accuracy = hints.getOrDefault(kind.customer(), new HintAccuracy());
      double hinted =
          Math.log((double) Math.max(1, kind.hintTokens().getAsLong())) + accuracy.bias();
      double weight = variance / (variance + accuracy.variance());
      logOutput += weight * (hinted - logOutput);
      variance *= 1 - weight;
    }
    double output = Math.min(Math.exp(logOutput), (double) Math.max(1, kind.maxOutputTokens()));
    double high = output * Math.exp(HIGH_DEVIATIONS * Math.sqrt(variance));
    return new RequestCost(
        kind.promptTokens(),
        output,
        Math.max(output, Math.min(high, (double) Math.max(1, kind.maxOutputTokens()))));
  }

  /**
   * Records what a request generated that ran to its end.
   *
   * @param kind what was known of the request
   * @param outputTokens the output, in tokens
   */
  public void record(RequestKind kind, double outputTokens) {
    double output = Math.max(1, outputTokens);
    Key key = keyOf(kind);
    sketches.computeIfAbsent(key, absent -> new OutputSketch()).record(output);
    sketches.computeIfAbsent(key.withoutSize(), absent -> new OutputSketch()).record(output);
    if (!kind.customer().isEmpty()) {
      sketches.computeIfAbsent(key.withoutCustomer(), absent -> new OutputSketch()).record(output);
    }
    kind.hintTokens()
        .ifPresent(
            hint ->
                hints
                    .computeIfAbsent(kind.customer(), absent -> new HintAccuracy())
                    .record((double) Math.max(1, hint), output));
  }

  /** Returns the number of keys that are kept. */
  public int keys() {
    return sketches.size();
  }

  /** Returns the finest sketch with enough observations, else the coarsest, null if none exists. */
  private OutputSketch sketchFor(RequestKind kind) {
    Key key = keyOf(kind);
    OutputSketch bySize = sketches.get(key);
    if (bySize != null && bySize.samples() >= MIN_SAMPLES) {
      return bySize;
    }
    OutputSketch byCustomer = sketches.get(key.withoutSize());
    if (byCustomer != null && byCustomer.samples() >= MIN_SAMPLES) {
      return byCustomer;
    }
    OutputSketch byRoute = sketches.get(key.withoutCustomer());
    return byRoute == null ? byCustomer : byRoute;
  }

  private static Key keyOf(RequestKind kind) {
    return new Key(kind.route(), kind.customer(), sizeClass(kind.promptTokens()));
  }

  /** Returns the number of times by which a prompt is four times as long. */
  private static int sizeClass(long promptTokens) {
    return (Long.SIZE - Long.numberOfLeadingZeros(promptTokens)) / 2;
  }
}

package io.snipeloom.telemetry;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/**
 * The counters and latency histograms of an instance.
 *
 * <p>Thread-safe.
 */
public final class FleetMetrics {
  private final MetricRegistry registry = new MetricRegistry();
  private final Histogram firstByteMillis = histogram("first_byte_millis");
  private final Histogram totalMillis = histogram("request_millis");
  private final Histogram claimMillis = histogram("reservation_millis");

  /**
   * Counts an event.
   *
   * @param name the name of the counter
   */
  public void count(String name) {
    registry.meter(name).mark();
  }

  /**
   * Records the time until the first byte of an answer.
   *
   * @param millis the time, in milliseconds
   */
  public void firstByte(long millis) {
    firstByteMillis.update(millis);
  }

  /**
   * Records the time until the end of an answer.
   *
   * @param millis the time, in milliseconds
   */
  public void total(long millis) {
    totalMillis.update(millis);
  }

  /**
   * Records the time until the tokens of a request were reserved.
   *
   * @param millis the time, in milliseconds
   */
  public void reservation(long millis) {
    claimMillis.update(millis);
  }

  /**
   * Returns the registry that holds all of them.
   *
   * @return the registry
   */
  public MetricRegistry registry() {
    return registry;
  }

  private Histogram histogram(String name) {
    return registry.histogram(name, () -> new Histogram(new ExponentiallyDecayingReservoir()));
  }
}

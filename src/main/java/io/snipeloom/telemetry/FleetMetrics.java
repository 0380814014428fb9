package io.snipeloom.telemetry;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/** The event counters and latency histograms of an instance. Thread-safe. */
public final class FleetMetrics {
  private final MetricRegistry registry = new MetricRegistry();
  private final Histogram firstByteMillis = histogram("first_byte_millis");
  private final Histogram totalMillis = histogram("request_millis");
  private final Histogram reservationMillis = histogram("reservation_millis");

  /**
   * Counts an event.
   *
   * @param name the name of the meter
   */
  public void count(String name) {
    registry.meter(name).mark();
  }

  /**
   * Records the time from a request to the first byte of its response.
   *
   * @param millis the time, in milliseconds
   */
  public void firstByte(long millis) {
    firstByteMillis.update(millis);
  }

  /**
   * Records the time from a request to the end of its response.
   *
   * @param millis the time, in milliseconds
   */
  public void total(long millis) {
    totalMillis.update(millis);
  }

  /**
   * Records how long the reservation of the tokens of a request took.
   *
   * @param millis the time, in milliseconds
   */
  public void reservation(long millis) {
    reservationMillis.update(millis);
  }

  /**
   * Registers a value that is read when the metrics are.
   *
   * @param name the name of the gauge
   * @param value returns the current value
   */
  public void gauge(String name, Gauge<Number> value) {
    registry.gauge(name, () -> value);
  }

  /** Returns the registry that contains all meters and histograms. */
  public MetricRegistry registry() {
    return registry;
  }

  private Histogram histogram(String name) {
    return registry.histogram(name, () -> new Histogram(new ExponentiallyDecayingReservoir()));
  }
}

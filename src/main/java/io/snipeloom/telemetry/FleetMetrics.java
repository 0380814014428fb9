package io.snipeloom.telemetry;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/** The event counters and latency histograms of an instance. Thread-safe. */
public final class FleetMetrics {
  private static final double PERCENT = 100;

  private final MetricRegistry registry = new MetricRegistry();
  private final Histogram firstByteMillis = histogram("first_byte_millis");
  private final Histogram totalMillis = histogram("request_millis");
  private final Histogram reservationMillis = histogram("reservation_millis");
  private final Histogram loopDelayMillis = histogram("loop_delay_millis");
  private final Histogram waitMillis = histogram("wait_before_send_millis");

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
   * Records how late the event loop ran a periodic task.
   *
   * @param millis the delay, in milliseconds
   */
  public void loopDelay(long millis) {
    loopDelayMillis.update(millis);
  }

  /**
   * Records the time from reading a request to sending it to a replica.
   *
   * @param millis the time, in milliseconds
   */
  public void waitBeforeSend(long millis) {
    waitMillis.update(millis);
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

  /**
   * Records the output of a request by what was estimated.
   *
   * @param route the name of the route
   * @param tokens the output, in tokens
   * @param estimatedTokens the estimate, in tokens
   */
  public void output(String route, long tokens, long estimatedTokens) {
    histogram("output_percent_of_estimate." + route)
        .update(Math.round(tokens * PERCENT / Math.max(1, estimatedTokens)));
  }

  /**
   * Records the time to a first event by what was predicted.
   *
   * @param route the name of the route
   * @param millis the time, in milliseconds
   * @param predictedMillis the prediction, in milliseconds
   */
  public void firstEvent(String route, long millis, double predictedMillis) {
    histogram("first_event_percent_of_prediction." + route)
        .update(Math.round(millis * PERCENT / Math.max(1, predictedMillis)));
  }

  /**
   * Records the pace of a replica that completed a request.
   *
   * @param pace how long work took there by what is usual
   */
  public void pace(double pace) {
    histogram("replica_pace_percent").update(Math.round(pace * PERCENT));
  }

  /** Returns the registry that contains all meters and histograms. */
  public MetricRegistry registry() {
    return registry;
  }

  private Histogram histogram(String name) {
    return registry.histogram(name, () -> new Histogram(new ExponentiallyDecayingReservoir()));
  }
}

package io.snipeloom.telemetry;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The shortest of the last round trips to each other instance.
 *
 * <p>A round trip takes long if the link or the processor of either instance is slow. The shortest
 * one to several instances takes long only if those of this instance are. Not thread-safe.
 */
public final class RoundTripTime {
  /** How long the last round trip to an instance counts. */
  private static final long VALID_NANOS = 2_000_000_000L;

  /** The fewest instances of which a slow one does not decide. */
  private static final int MIN_PEERS = 3;

  private final Map<String, RoundTrip> lastByPeer = new HashMap<>();

  private record RoundTrip(long nanos, long receivedNanos) {}

  /**
   * Records a round trip.
   *
   * @param peer the name of the other instance
   * @param sentNanos when the message was sent, as {@link System#nanoTime}
   * @param receivedNanos when its acknowledgement was received
   */
  public void onResponse(String peer, long sentNanos, long receivedNanos) {
    lastByPeer.put(peer, new RoundTrip(receivedNanos - sentNanos, receivedNanos));
  }

  /**
   * Returns the shortest of the last round trips.
   *
   * @param nowNanos the current time
   * @return the time in milliseconds, -1 if too few instances have responded
   */
  public long shortestMillis(long nowNanos) {
    lastByPeer.values().removeIf(last -> nowNanos - last.receivedNanos() > VALID_NANOS);
    if (lastByPeer.size() < MIN_PEERS) {
      return -1;
    }
    long shortest = lastByPeer.values().stream().mapToLong(RoundTrip::nanos).min().orElseThrow();
    return TimeUnit.NANOSECONDS.toMillis(shortest);
  }
}

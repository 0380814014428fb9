package io.snipeloom.telemetry;

import io.snipeloom.telemetry.LinkTraffic.Purpose;

/**
 * How much of what a network link can carry was sent or received lately, whichever is more. Not
 * thread-safe.
 */
public final class LinkUtilization {
  /** The time over which bytes are counted. */
  private static final long WINDOW_NANOS = 500_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BYTES_PER_MEGABIT = 125_000;

  private final LinkTraffic traffic;
  private final double bytesPerSecond;
  private long windowStartNanos;
  private long sentBefore;
  private long receivedBefore;
  private double utilization;

  /**
   * Creates a measure that counts from now on.
   *
   * @param traffic counts the bytes
   * @param linkMegabits what the link carries in each direction, in megabits a second
   * @param nowNanos the current time, as {@link System#nanoTime}
   */
  public LinkUtilization(LinkTraffic traffic, double linkMegabits, long nowNanos) {
    this.traffic = traffic;
    this.bytesPerSecond = linkMegabits * BYTES_PER_MEGABIT;
    this.windowStartNanos = nowNanos;
  }

  /**
   * Returns the utilization in the last complete window.
   *
   * @param nowNanos the current time
   * @return the share of the bytes that the link can carry, without those of headers of packets
   */
  public double share(long nowNanos) {
    long elapsedNanos = nowNanos - windowStartNanos;
    if (elapsedNanos >= WINDOW_NANOS) {
      long sent = 0;
      long received = 0;
      for (Purpose purpose : Purpose.values()) {
        sent += traffic.sentBytes(purpose);
        received += traffic.receivedBytes(purpose);
      }
      long most = Math.max(sent - sentBefore, received - receivedBefore);
      utilization = most / (bytesPerSecond * elapsedNanos / NANOS_PER_SECOND);
      sentBefore = sent;
      receivedBefore = received;
      windowStartNanos = nowNanos;
    }
    return utilization;
  }
}

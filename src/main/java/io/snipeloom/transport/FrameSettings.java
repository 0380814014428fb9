package io.snipeloom.transport;

import java.time.Duration;

/**
 * Settings of the framed connections between processes.
 *
 * @param key the shared key
 * @param maxFrameBytes the largest frame
 * @param maxConnections the most connections that a server accepts at once
 * @param heartbeatInterval the time between heartbeats
 * @param silenceLimit the time without a frame after which a connection is given up
 */
public record FrameSettings(
    SharedKey key,
    int maxFrameBytes,
    int maxConnections,
    Duration heartbeatInterval,
    Duration silenceLimit) {
  private static final int DEFAULT_MAX_FRAME_BYTES = 8 << 20;
  private static final int DEFAULT_MAX_CONNECTIONS = 4096;
  private static final Duration DEFAULT_HEARTBEAT_INTERVAL = Duration.ofMillis(500);
  private static final Duration DEFAULT_SILENCE_LIMIT = Duration.ofSeconds(2);

  /**
   * Returns the default settings with a key.
   *
   * @param key the shared key
   * @return the settings
   */
  public static FrameSettings of(SharedKey key) {
    return new FrameSettings(
        key,
        DEFAULT_MAX_FRAME_BYTES,
        DEFAULT_MAX_CONNECTIONS,
        DEFAULT_HEARTBEAT_INTERVAL,
        DEFAULT_SILENCE_LIMIT);
  }

  /**
   * Returns a copy with other times.
   *
   * @param interval the time between heartbeats
   * @param limit the time without a frame after which a connection is given up
   * @return the copy
   */
  public FrameSettings withHeartbeats(Duration interval, Duration limit) {
    return new FrameSettings(key, maxFrameBytes, maxConnections, interval, limit);
  }

  /**
   * Returns a copy with another frame limit.
   *
   * @param bytes the largest frame
   * @return the copy
   */
  public FrameSettings withMaxFrameBytes(int bytes) {
    return new FrameSettings(key, bytes, maxConnections, heartbeatInterval, silenceLimit);
  }
}

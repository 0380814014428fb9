package io.snipeloom.transport;

import java.time.Duration;

/**
 * Settings of the framed connections between processes.
 *
 * @param key the key that both ends of a connection must know
 * @param maxFrameBytes the maximum length of a frame in bytes, including its length prefix
 * @param maxConnections the maximum number of concurrent connections of a server
 * @param heartbeatInterval the time between heartbeats
 * @param heartbeatTimeout the time without a received frame after which a connection is closed;
 *     also the connect timeout of clients
 */
public record FrameSettings(
    SharedKey key,
    int maxFrameBytes,
    int maxConnections,
    Duration heartbeatInterval,
    Duration heartbeatTimeout) {
  private static final int DEFAULT_MAX_FRAME_BYTES = 8 << 20;
  private static final int DEFAULT_MAX_CONNECTIONS = 4096;
  private static final Duration DEFAULT_HEARTBEAT_INTERVAL = Duration.ofMillis(500);
  private static final Duration DEFAULT_HEARTBEAT_TIMEOUT = Duration.ofSeconds(2);

  /** Returns the default settings with the given key. */
  public static FrameSettings of(SharedKey key) {
    return new FrameSettings(
        key,
        DEFAULT_MAX_FRAME_BYTES,
        DEFAULT_MAX_CONNECTIONS,
        DEFAULT_HEARTBEAT_INTERVAL,
        DEFAULT_HEARTBEAT_TIMEOUT);
  }

  /**
   * Returns a copy with other heartbeat times.
   *
   * @param interval the time between heartbeats
   * @param timeout the time without a received frame after which a connection is closed
   */
  public FrameSettings withHeartbeats(Duration interval, Duration timeout) {
    return new FrameSettings(key, maxFrameBytes, maxConnections, interval, timeout);
  }

  /**
   * Returns a copy with another maximum frame length.
   *
   * @param bytes the maximum length of a frame in bytes
   */
  public FrameSettings withMaxFrameBytes(int bytes) {
    return new FrameSettings(key, bytes, maxConnections, heartbeatInterval, heartbeatTimeout);
  }
}

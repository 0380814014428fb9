package io.snipeloom.telemetry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the bytes that an instance sends and receives over its network link, by purpose.
 *
 * <p>Confined to the event loop thread.
 */
public final class LinkTraffic {
  private final Map<Purpose, Meter> meters = new EnumMap<>(Purpose.class);

  /** What bytes are sent and received for. */
  public enum Purpose {
    /** Requests and responses of callers. */
    CALLERS,
    /** Requests to replicas and their responses. */
    REPLICAS,
    /** Calls of the store. */
    STORE,
    /** Messages between instances. */
    PEERS
  }

  /** Creates counters that start at 0. */
  public LinkTraffic() {
    for (Purpose purpose : Purpose.values()) {
      meters.put(purpose, new Meter());
    }
  }

  /**
   * Returns the handler that counts the bytes of connections for a purpose. It must be the first
   * handler of each of these channels.
   */
  public ChannelHandler meter(Purpose purpose) {
    return meters.get(purpose);
  }

  /** Returns the bytes passed to connections for a purpose so far. */
  public long sentBytes(Purpose purpose) {
    return meters.get(purpose).sentBytes;
  }

  /** Returns the bytes read from connections for a purpose so far. */
  public long receivedBytes(Purpose purpose) {
    return meters.get(purpose).receivedBytes;
  }

  /** Counts the bytes of all channels that it is added to. */
  @ChannelHandler.Sharable
  private static final class Meter extends ChannelDuplexHandler {
    private long sentBytes;
    private long receivedBytes;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (message instanceof ByteBuf bytes) {
        receivedBytes += bytes.readableBytes();
      }
      super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
        throws Exception {
      if (message instanceof ByteBuf bytes) {
        sentBytes += bytes.readableBytes();
      }
      super.write(context, message, promise);
    }
  }
}

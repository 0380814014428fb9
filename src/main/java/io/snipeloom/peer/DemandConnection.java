package io.snipeloom.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.snipeloom.routing.DemandReport;
import java.net.InetSocketAddress;

/**
 * The connection on which this instance tells one other instance of its requests. A report that
 * cannot be sent at once is dropped, because the next one replaces it.
 *
 * <p>Confined to the event loop thread.
 */
final class DemandConnection {
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  /** The time without an acknowledgement after which a connection counts as dead. */
  private static final long UNRESPONSIVE_NANOS = 3_000_000_000L;

  /** The delay before a closed connection is opened again. */
  private static final long RECONNECT_DELAY_NANOS = 1_000_000_000L;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private Channel channel;
  private long openedNanos = Long.MIN_VALUE / 2;
  private long acknowledgedNanos;
  private long sequence;

  DemandConnection(EventLoop loop, InetSocketAddress address) {
    this.loop = loop;
    this.address = address;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Sends a report, or opens the connection for the next one. */
  void send(DemandReport report, long nowNanos) {
    if (channel == null) {
      openIfDue(nowNanos);
      return;
    }
    if (nowNanos - acknowledgedNanos > UNRESPONSIVE_NANOS) {
      close();
      return;
    }
    if (channel.isActive() && channel.isWritable()) {
      ChannelFuture unused = PeerFrames.send(channel, new DemandMessage.Report(++sequence, report));
    }
  }

  /** Closes the connection. */
  void close() {
    Channel closing = channel;
    channel = null;
    if (closing != null) {
      ChannelFuture unused = closing.close();
    }
  }

  private void openIfDue(long nowNanos) {
    if (nowNanos - openedNanos < RECONNECT_DELAY_NANOS) {
      return;
    }
    openedNanos = nowNanos;
    acknowledgedNanos = nowNanos;
    sequence = 0;
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel connection) {
                    PeerFrames.addTo(
                        connection,
                        message -> onMessage(connection, message),
                        () -> onClosed(connection));
                  }
                })
            .connect(address);
    channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            onClosed(connecting.channel());
          }
        });
  }

  private void onMessage(Channel source, PeerMessage message) {
    if (source == channel && message instanceof DemandMessage.Acknowledgement) {
      acknowledgedNanos = System.nanoTime();
    }
  }

  private void onClosed(Channel closed) {
    if (closed == channel) {
      channel = null;
    }
  }
}

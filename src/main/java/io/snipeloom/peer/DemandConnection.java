package io.snipeloom.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.snipeloom.routing.DemandReport;
import io.snipeloom.telemetry.LinkTraffic;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

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

  /** The most reports whose sending time is kept until they are acknowledged. */
  private static final int MAX_UNACKNOWLEDGED = 64;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final LinkTraffic traffic;
  private final ClockListener clockListener;
  private final Map<Long, Long> sentNanos = new LinkedHashMap<>();
  private Channel channel;
  private long openedNanos = Long.MIN_VALUE / 2;
  private long acknowledgedNanos;
  private long sequence;

  /** Receives the time of day of the other instance. */
  interface ClockListener {

    /** Called with a time of day that was read between two monotonic times. */
    void onResponse(long wallMillis, long sentNanos, long receivedNanos);
  }

  DemandConnection(
      EventLoop loop, InetSocketAddress address, LinkTraffic traffic, ClockListener clockListener) {
    this.loop = loop;
    this.address = address;
    this.traffic = traffic;
    this.clockListener = clockListener;
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
      sequence++;
      if (sentNanos.size() < MAX_UNACKNOWLEDGED) {
        sentNanos.put(sequence, System.nanoTime());
      }
      ChannelFuture unused = PeerFrames.send(channel, new DemandMessage.Report(sequence, report));
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
    sentNanos.clear();
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
                        traffic,
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
    if (source == channel && message instanceof DemandMessage.Acknowledgement acknowledgement) {
      acknowledgedNanos = System.nanoTime();
      Long sent = sentNanos.get(acknowledgement.sequence());
      sentNanos.keySet().removeIf(number -> number <= acknowledgement.sequence());
      if (sent != null) {
        clockListener.onResponse(acknowledgement.wallMillis(), sent, acknowledgedNanos);
      }
    }
  }

  private void onClosed(Channel closed) {
    if (closed == channel) {
      channel = null;
    }
  }
}

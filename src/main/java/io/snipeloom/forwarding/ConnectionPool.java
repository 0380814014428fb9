package io.snipeloom.forwarding;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import jdk.net.ExtendedSocketOptions;

/**
 * The connections of this instance to one peer.
 *
 * <p>Idle connections are used again, the latest first, as long as the peer is sure to keep them
 * open. Silent peers are found by TCP probes. Belongs to its event loop.
 */
// A failed write or close also closes the channel, which is handled where it is noticed.
@SuppressWarnings("FutureReturnValueIgnored")
final class ConnectionPool {
  /** The time for a connection to be established; a few round trips between zones. */
  static final int CONNECT_TIMEOUT_MILLIS = 250;

  /** The idle time after which a peer that states none may have closed its end. */
  private static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;

  /** The share of the stated idle time that is used, so that requests do not meet the close. */
  private static final double KEEP_ALIVE_SHARE = 0.6;

  private static final int PROBE_SECONDS = 1;
  private static final int PROBES = 2;
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Function<ClientConnection, OptionalLong> statedKeepAliveMillis;
  private final Deque<ClientConnection> idle = new ArrayDeque<>();
  private boolean closed;

  ConnectionPool(
      EventLoop loop,
      InetSocketAddress address,
      Function<ClientConnection, OptionalLong> statedKeepAliveMillis) {
    this.loop = loop;
    this.address = address;
    this.statedKeepAliveMillis = statedKeepAliveMillis;
  }

  /** Hands over a connection, an idle one or a new one. */
  void acquire(Consumer<ClientConnection> onConnection, Consumer<String> onFailure) {
    ClientConnection connection = pollIdle();
    if (connection != null) {
      onConnection.accept(connection);
      return;
    }
    connect(onConnection, onFailure);
  }

  /** Closes the idle connections; open requests go on. */
  void close() {
    closed = true;
    idle.forEach(ClientConnection::abandon);
    idle.clear();
  }

  /** Closes the connections that have been idle too long to be used again. */
  void closeStale() {
    while (!idle.isEmpty() && !isFresh(idle.peekFirst())) {
      idle.pollFirst().abandon();
    }
  }

  private ClientConnection pollIdle() {
    while (!idle.isEmpty()) {
      ClientConnection connection = idle.pollLast();
      if (connection.isUsable() && isFresh(connection)) {
        return connection;
      }
      connection.abandon();
    }
    return null;
  }

  private boolean isFresh(ClientConnection connection) {
    long keepAliveMillis =
        statedKeepAliveMillis.apply(connection).orElse(DEFAULT_KEEP_ALIVE_MILLIS);
    long limitNanos = (long) (keepAliveMillis * KEEP_ALIVE_SHARE * NANOS_PER_MILLI);
    return System.nanoTime() - connection.idleSinceNanos() < limitNanos;
  }

  private void connect(Consumer<ClientConnection> onConnection, Consumer<String> onFailure) {
    ClientConnection[] holder = new ClientConnection[1];
    ClientConnection connection = new ClientConnection(() -> offer(holder[0]));
    holder[0] = connection;
    ChannelFuture connected = bootstrap(connection).connect(address);
    connected.addListener(
        done -> {
          if (done.isSuccess()) {
            onConnection.accept(connection);
          } else {
            onFailure.accept(done.cause().getClass().getSimpleName());
          }
        });
  }

  private void offer(ClientConnection connection) {
    if (closed) {
      connection.abandon();
    } else {
      idle.addLast(connection);
    }
  }

  private Bootstrap bootstrap(ClientConnection connection) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                HttpDecoderConfig config =
                    new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES);
                channel.pipeline().addLast(new HttpClientCodec(config, false, false));
                channel.pipeline().addLast(connection);
              }
            });
  }
}

package io.snipeloom.forwarding;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import jdk.net.ExtendedSocketOptions;

/**
 * The connections of this instance to one peer.
 *
 * <p>Idle connections are reused, the most recently used first, while the peer is expected to keep
 * them open. TCP keep-alive probes detect unresponsive peers. Confined to the event loop thread.
 */
// A failed write or close also closes the channel, which the channel handlers detect.
@SuppressWarnings("FutureReturnValueIgnored")
final class ConnectionPool {
  /** The time limit for establishing a connection; enough for a few round trips between zones. */
  static final int CONNECT_TIMEOUT_MILLIS = 250;

  /**
   * The idle time after which a peer that announces no keep-alive timeout may close a connection.
   */
  private static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;

  /**
   * The fraction of the keep-alive timeout during which a connection is reused; the rest is a
   * margin against sending a request while the peer closes the connection.
   */
  private static final double KEEP_ALIVE_FRACTION = 0.6;

  /** How long after it was accepted a connection shows that the peer goes on. */
  private static final long PROBE_CHECK_MILLIS = 100;

  private static final int KEEPALIVE_PROBE_SECONDS = 1;
  private static final int KEEPALIVE_PROBE_COUNT = 2;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final ChannelHandler meter;
  private final Function<ClientConnection, OptionalLong> announcedKeepAliveMillis;
  private final BiConsumer<ClientConnection, SurplusMoment> onSurplus;
  private final Deque<ClientConnection> idle = new ArrayDeque<>();
  private boolean closed;

  /**
   * Creates a pool without connections.
   *
   * @param loop the event loop that the connections use
   * @param address the address of the peer
   * @param meter counts the bytes of the connections
   * @param announcedKeepAliveMillis returns how long the peer keeps an idle connection open, in
   *     milliseconds, if it has said so on that connection
   * @param onSurplus called when bytes came on a connection that belong to no request
   */
  ConnectionPool(
      EventLoop loop,
      InetSocketAddress address,
      ChannelHandler meter,
      Function<ClientConnection, OptionalLong> announcedKeepAliveMillis,
      BiConsumer<ClientConnection, SurplusMoment> onSurplus) {
    this.loop = loop;
    this.address = address;
    this.meter = meter;
    this.announcedKeepAliveMillis = announcedKeepAliveMillis;
    this.onSurplus = onSurplus;
  }

  /** What a new connection shows of a peer. */
  enum ProbeResult {
    /** The peer accepted the connection. */
    ACCEPTED,
    /** Nothing listens at the address of the peer. */
    REFUSED,
    /** The peer did not respond in time, or cannot be reached. */
    UNKNOWN;

    static ProbeResult of(Throwable failure) {
      boolean refused =
          failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
      return refused ? REFUSED : UNKNOWN;
    }
  }

  /**
   * Establishes a new connection to find out whether the peer is running. If it is, the connection
   * is kept for the next request. A peer that accepts a connection and closes it at once may be
   * ending, so that a second one is tried.
   */
  void probe(Consumer<ProbeResult> onResult) {
    probe(connection -> probe(last -> onResult.accept(ProbeResult.ACCEPTED), onResult), onResult);
  }

  private void probe(Consumer<ClientConnection> onClosed, Consumer<ProbeResult> onResult) {
    connect(
        connection -> {
          offer(connection);
          Runnable check =
              () -> {
                if (connection.readArrived()) {
                  onResult.accept(ProbeResult.ACCEPTED);
                } else {
                  onClosed.accept(connection);
                }
              };
          var unused = loop.schedule(check, PROBE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        },
        failure -> onResult.accept(ProbeResult.of(failure)));
  }

  /** Establishes a new connection, on which no earlier response can arrive. */
  void acquireNew(Consumer<ClientConnection> onConnection, Consumer<String> onFailure) {
    connect(onConnection, failure -> onFailure.accept(failure.getClass().getSimpleName()));
  }

  /**
   * Provides an idle connection that has not carried a request, or establishes a new one. An idle
   * connection that its peer has closed, or on which it sent something since, is not reused, even
   * if that was not read yet.
   *
   * @param requestId names the request in its response; empty if nothing does
   * @param onConnection receives the connection
   * @param onFailure called with the reason if there is none
   */
  void acquire(
      String requestId, Consumer<ClientConnection> onConnection, Consumer<String> onFailure) {
    ClientConnection connection = pollIdle(requestId);
    if (connection != null) {
      onConnection.accept(connection);
      return;
    }
    acquireNew(onConnection, onFailure);
  }

  /** Takes back a connection on which nothing was sent. */
  void giveBack(ClientConnection connection) {
    if (connection.isUsable()) {
      offer(connection);
    }
  }

  /** Closes the idle connections. Pending requests continue; their connections are not reused. */
  void close() {
    closed = true;
    closeIdle();
  }

  /** Closes the idle connections; later ones are kept. */
  void closeIdle() {
    idle.forEach(ClientConnection::close);
    idle.clear();
  }

  /** Closes the connections that have been idle for too long to be reused. */
  void closeStale() {
    while (!idle.isEmpty() && !isFresh(idle.peekFirst())) {
      idle.pollFirst().close();
    }
  }

  private ClientConnection pollIdle(String requestId) {
    Iterator<ClientConnection> mostRecentFirst = idle.descendingIterator();
    while (mostRecentFirst.hasNext()) {
      ClientConnection connection = mostRecentFirst.next();
      if (connection.carried().mayContain(requestId)) {
        continue;
      }
      mostRecentFirst.remove();
      if (isFresh(connection) && connection.readArrived() && connection.isUsable()) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  private boolean isFresh(ClientConnection connection) {
    long keepAliveMillis =
        announcedKeepAliveMillis.apply(connection).orElse(DEFAULT_KEEP_ALIVE_MILLIS);
    long limitNanos = (long) (keepAliveMillis * KEEP_ALIVE_FRACTION * NANOS_PER_MILLI);
    return System.nanoTime() - connection.idleSinceNanos() < limitNanos;
  }

  private void connect(Consumer<ClientConnection> onConnection, Consumer<Throwable> onFailure) {
    ClientConnection[] self = new ClientConnection[1];
    ClientConnection connection = new ClientConnection(() -> offer(self[0]), onSurplus);
    self[0] = connection;
    ChannelFuture connected = bootstrap(connection).connect(address);
    connected.addListener(
        done -> {
          if (done.isSuccess()) {
            onConnection.accept(connection);
          } else {
            onFailure.accept(done.cause());
          }
        });
  }

  private void offer(ClientConnection connection) {
    if (closed) {
      connection.close();
    } else {
      connection.markIdle();
      idle.addLast(connection);
    }
  }

  private Bootstrap bootstrap(ClientConnection connection) {
    return new Bootstrap()
        .group(loop)
        .channel(ResetAwareChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, ReceiveBuffers.oneReadPerTurn())
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_PROBE_SECONDS)
        .option(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_PROBE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBE_COUNT)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(meter, connection.reader());
                channel.pipeline().addLast(connection.decoder(), new HttpRequestEncoder());
                channel.pipeline().addLast(connection);
              }
            });
  }
}

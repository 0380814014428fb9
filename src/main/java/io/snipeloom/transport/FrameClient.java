package io.snipeloom.transport;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.SnipeloomException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.concurrent.ScheduledExecutorService;

/** Opens framed connections. Thread-safe; started and stopped once. */
public final class FrameClient {
  private static final Message.Heartbeat NO_LOAD = new Message.Heartbeat(0, 0, 0);

  private final Incarnation self;
  private final FrameSettings settings;
  private final MetricRegistry metrics;
  private final SecureRandom random = new SecureRandom();
  private final EventLoopGroup loops;

  private FrameClient(
      Incarnation self, FrameSettings settings, int threads, MetricRegistry metrics) {
    this.self = self;
    this.settings = settings;
    this.metrics = metrics;
    this.loops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
  }

  /**
   * Returns a client.
   *
   * @param self the incarnation that peers see
   * @param settings the settings
   * @param threads the number of threads that serve all connections
   * @param metrics the registry for metrics
   * @return the client
   */
  public static FrameClient of(
      Incarnation self, FrameSettings settings, int threads, MetricRegistry metrics) {
    return new FrameClient(self, settings, threads, metrics);
  }

  /**
   * Returns the incarnation that peers see.
   *
   * @return the incarnation
   */
  public Incarnation self() {
    return self;
  }

  /**
   * Returns one of the threads of this client, in turn.
   *
   * @return an executor that runs its tasks one at a time
   */
  public ScheduledExecutorService nextExecutor() {
    return loops.next();
  }

  /**
   * Opens a connection; the listener learns whether it succeeds.
   *
   * @param address the IP address of the peer
   * @param port the TCP port of the peer
   * @param executor an executor from {@link #nextExecutor()}, which runs all events
   * @param listener receives the events
   */
  public void connect(
      String address, int port, ScheduledExecutorService executor, FrameListener listener) {
    ChannelFuture connecting =
        new Bootstrap()
            .group((EventLoop) executor)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.silenceLimit().toMillis())
            .handler(
                FrameChannels.initializer(settings, channel -> true, () -> newHandler(listener)))
            .connect(new InetSocketAddress(address, port));
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            listener.onFailed(failed(address + ":" + port, done.cause()));
          }
        });
  }

  private FrameHandler newHandler(FrameListener listener) {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    random.nextBytes(nonce);
    Handshake handshake = new Handshake(Handshake.Side.CLIENT, settings.key(), self, nonce);
    return new FrameHandler(handshake, settings, listener, () -> NO_LOAD, metrics);
  }

  private static SnipeloomException failed(String peer, Throwable cause) {
    return SnipeloomException.of(ErrorCode.CONNECTION_LOST, "the connection was not opened")
        .withOrigin("connect", peer)
        .withCause(cause);
  }

  /** Closes all connections. */
  public void stop() {
    FrameChannels.shutDown(loops);
  }
}

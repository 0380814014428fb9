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

/**
 * Opens framed connections to servers.
 *
 * <p>Thread-safe. The client is ready for use once created, and cannot be used after {@link
 * #stop()}.
 */
public final class FrameClient {
  private static final Message.Heartbeat NO_LOAD = new Message.Heartbeat(0, 0, 0);

  private final Incarnation self;
  private final FrameSettings settings;
  private final MetricRegistry metrics;
  private final SecureRandom random = new SecureRandom();
  private final EventLoopGroup eventLoops;

  private FrameClient(
      Incarnation self, FrameSettings settings, int threads, MetricRegistry metrics) {
    this.self = self;
    this.settings = settings;
    this.metrics = metrics;
    this.eventLoops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
  }

  /**
   * Creates a client and its event loop threads.
   *
   * @param self the incarnation that this process presents to peers
   * @param threads the number of event loop threads shared by all connections
   */
  public static FrameClient of(
      Incarnation self, FrameSettings settings, int threads, MetricRegistry metrics) {
    return new FrameClient(self, settings, threads, metrics);
  }

  /** Returns the incarnation that this process presents to peers. */
  public Incarnation self() {
    return self;
  }

  /**
   * Returns one of the event loops, chosen in round-robin order.
   *
   * @return a single-threaded executor
   */
  public ScheduledExecutorService nextExecutor() {
    return eventLoops.next();
  }

  /**
   * Opens a connection asynchronously. The listener is notified of success or failure.
   *
   * @param address the IP address of the server
   * @param port the TCP port of the server
   * @param executor an executor from {@link #nextExecutor()}; all events of the connection run on
   *     it
   */
  public void connect(
      String address, int port, ScheduledExecutorService executor, FrameListener listener) {
    ChannelFuture connectFuture =
        new Bootstrap()
            .group((EventLoop) executor)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.heartbeatTimeout().toMillis())
            .handler(
                FrameChannels.initializer(settings, channel -> true, () -> newHandler(listener)))
            .connect(new InetSocketAddress(address, port));
    connectFuture.addListener(
        future -> {
          if (!future.isSuccess()) {
            listener.onFailed(connectFailure(address + ":" + port, future.cause()));
          }
        });
  }

  private FrameHandler newHandler(FrameListener listener) {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    random.nextBytes(nonce);
    Handshake handshake = new Handshake(Handshake.Side.CLIENT, settings.key(), self, nonce);
    return new FrameHandler(handshake, settings, listener, () -> NO_LOAD, metrics);
  }

  private static SnipeloomException connectFailure(String peer, Throwable cause) {
    return SnipeloomException.of(ErrorCode.CONNECTION_LOST, "failed to open the connection")
        .withOrigin("connect", peer)
        .withCause(cause);
  }

  /** Closes all connections and stops the event loops. */
  public void stop() {
    FrameChannels.shutDown(eventLoops);
  }
}

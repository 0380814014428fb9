package io.snipeloom.transport;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.Incarnation;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.function.Supplier;

/** Accepts framed connections on one address. Thread-safe; can be started and stopped once. */
public final class FrameServer {
  private static final int EVENT_LOOP_THREADS = 2;

  private final Incarnation self;
  private final FrameSettings settings;
  private final FrameListener listener;
  private final Supplier<Message.Heartbeat> loadSupplier;
  private final MetricRegistry metrics;
  private final SecureRandom random = new SecureRandom();
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private EventLoopGroup eventLoops;
  private Channel serverChannel;

  private FrameServer(
      Incarnation self,
      FrameSettings settings,
      FrameListener listener,
      Supplier<Message.Heartbeat> loadSupplier,
      MetricRegistry metrics) {
    this.self = self;
    this.settings = settings;
    this.listener = listener;
    this.loadSupplier = loadSupplier;
    this.metrics = metrics;
  }

  /**
   * Creates a server without starting it.
   *
   * @param self the incarnation that this process presents to peers
   * @param listener receives the events of all connections
   * @param loadSupplier supplies the load reported in each heartbeat
   */
  public static FrameServer of(
      Incarnation self,
      FrameSettings settings,
      FrameListener listener,
      Supplier<Message.Heartbeat> loadSupplier,
      MetricRegistry metrics) {
    return new FrameServer(self, settings, listener, loadSupplier, metrics);
  }

  /**
   * Starts listening.
   *
   * @param address the IP address to listen on
   * @param port the TCP port, or 0 to let the system choose a free one
   */
  public synchronized void start(String address, int port) {
    eventLoops = new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    serverChannel =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                FrameChannels.initializer(settings, this::acceptIfBelowLimit, this::newHandler))
            .bind(new InetSocketAddress(address, port))
            .syncUninterruptibly()
            .channel();
  }

  private boolean acceptIfBelowLimit(SocketChannel channel) {
    if (channels.size() >= settings.maxConnections()) {
      metrics.meter("transport.connections.refused").mark();
      return false;
    }
    return channels.add(channel);
  }

  private FrameHandler newHandler() {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    random.nextBytes(nonce);
    Handshake handshake = new Handshake(Handshake.Side.SERVER, settings.key(), self, nonce);
    return new FrameHandler(handshake, settings, listener, loadSupplier, metrics);
  }

  /** Stops listening and closes all connections. */
  public synchronized void stop() {
    if (eventLoops == null) {
      return;
    }
    serverChannel.close().syncUninterruptibly();
    channels.close().awaitUninterruptibly();
    FrameChannels.shutDown(eventLoops);
    eventLoops = null;
  }

  /** Returns the TCP port that the server listens on. */
  public synchronized int port() {
    return ((InetSocketAddress) serverChannel.localAddress()).getPort();
  }
}

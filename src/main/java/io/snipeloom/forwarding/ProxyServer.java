package io.snipeloom.forwarding;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.routing.RequestLimits;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;
import io.snipeloom.telemetry.LinkTraffic;
import io.snipeloom.telemetry.LoopDelay;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;

/**
 * Accepts the connections of callers.
 *
 * <p>Confined to the event loop thread.
 */
public final class ProxyServer {
  private static final int MAX_PENDING_CONNECTIONS = 1_024;
  private static final int WRITE_BUFFER_HIGH_BYTES = 65_536;
  private static final int SEND_BUFFER_BYTES = 65_536;
  private static final int WRITE_BUFFER_LOW_BYTES = 32_768;

  private final EventLoop loop;
  private final Fleet fleet;
  private final EventLog log;
  private final FleetMetrics metrics;
  private final LoopDelay loopDelay;
  private final CrashDetector crashDetector;
  private final Set<ProxyConnection> connections = new HashSet<>();
  private Channel listener;
  private ServerSocketChannel socket;
  private boolean draining;
  private boolean rerouted;
  private long accepted;

  /**
   * Creates a server that does not listen yet.
   *
   * @param loop the event loop that all connections use
   * @param fleet the configuration and the replicas
   * @param log the event log
   * @param metrics the request metrics
   * @param loopDelay how late the event loop is
   */
  public ProxyServer(
      EventLoop loop, Fleet fleet, EventLog log, FleetMetrics metrics, LoopDelay loopDelay) {
    this.loop = loop;
    this.fleet = fleet;
    this.log = log;
    this.metrics = metrics;
    this.loopDelay = loopDelay;
    this.crashDetector = new CrashDetector(loop, fleet, log, metrics);
  }

  /**
   * Binds the server to an address and starts accepting connections.
   *
   * @param address the local address
   */
  public void start(InetSocketAddress address) {
    socket = openSocket();
    listener =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(() -> new NioServerSocketChannel(socket))
            .option(ChannelOption.SO_BACKLOG, MAX_PENDING_CONNECTIONS)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReceiveBuffers.oneReadPerTurn())
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new io.netty.channel.WriteBufferWaterMark(
                    WRITE_BUFFER_LOW_BYTES, WRITE_BUFFER_HIGH_BYTES))
            .childOption(ChannelOption.SO_SNDBUF, sendBufferBytes())
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    addHandlers(channel);
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  /**
   * Returns the size of the send buffers in the kernel, which otherwise grow to megabytes for a
   * caller that reads slowly; null for the default of the kernel.
   */
  private Integer sendBufferBytes() {
    return fleet.buffers().bounds().isLimited() ? SEND_BUFFER_BYTES : null;
  }

  private static ServerSocketChannel openSocket() {
    try {
      return ServerSocketChannel.open();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void addHandlers(Channel channel) {
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits().maxHeaderBytes())
            .setMaxHeaderSize(limits().maxHeaderBytes());
    ProxyConnection connection = new ProxyConnection(this, loop, fleet, log, metrics);
    channel.pipeline().addLast(fleet.traffic().meter(LinkTraffic.Purpose.CALLERS));
    channel.pipeline().addLast(connection.reader());
    channel.pipeline().addLast(new HttpRequestDecoder(config));
    channel.pipeline().addLast(connection.encoder());
    channel.pipeline().addLast(connection);
    connections.add(connection);
    accepted++;
  }

  /** Starts draining: every further response closes its connection. */
  public void drain() {
    draining = true;
  }

  /** Ends the open requests whose like are refused by now and whose answers have not begun. */
  public void refuseConvicted() {
    new ArrayList<>(connections).forEach(ProxyConnection::refuseIfConvicted);
  }

  /** Ends the open requests, since the process ends. */
  public void endBeforeShutdown() {
    new ArrayList<>(connections).forEach(ProxyConnection::endBeforeShutdown);
  }

  /** Closes the connections that have no request in progress. */
  public void closeIdle() {
    new ArrayList<>(connections).forEach(ProxyConnection::closeIfIdle);
  }

  /** Closes the connections that exceed the time limits for headers, bodies or idleness. */
  public void closeTimedOut() {
    long now = System.nanoTime();
    new ArrayList<>(connections).forEach(connection -> connection.closeIfTimedOut(now));
  }

  /**
   * Accepts the connections that wait, and starts to close the listener, which {@link #isListening}
   * shows to be complete. The kernel resets those that wait when it is closed.
   */
  public void stopAccepting() {
    acceptWaiting();
    ChannelFuture unused = listener.close();
  }

  private void acceptWaiting() {
    AbstractNioChannel.NioUnsafe socketReader = (AbstractNioChannel.NioUnsafe) listener.unsafe();
    long before;
    do {
      before = accepted;
      socketReader.read();
    } while (accepted > before && accepted - before < MAX_PENDING_CONNECTIONS);
  }

  /**
   * Returns whether the kernel may still accept connections. It does after {@link #stopAccepting}
   * until the event loop has released the socket from its selector.
   */
  public boolean isListening() {
    return socket.isOpen() || socket.isRegistered();
  }

  /** Returns the number of connections with a request in progress or queued. */
  public long openRequests() {
    return connections.stream().filter(ProxyConnection::isBusy).count();
  }

  /** Returns whether bytes of answers wait to be written to callers. */
  public boolean hasUnwrittenAnswers() {
    return connections.stream().anyMatch(ProxyConnection::hasUnwrittenAnswer);
  }

  /** Returns how late the event loop is, in milliseconds. */
  long loopDelayMillis(long nowNanos) {
    return loopDelay.millis(nowNanos);
  }

  CrashDetector crashDetector() {
    return crashDetector;
  }

  boolean isDraining() {
    return draining;
  }

  /**
   * Sets whether new connections of callers go to other instances, so that each response closes its
   * connection.
   */
  public void setRerouted(boolean rerouted) {
    this.rerouted = rerouted;
  }

  boolean isRerouted() {
    return rerouted;
  }

  RequestLimits limits() {
    return fleet.configuration().map(FleetConfiguration::limits).orElse(RequestLimits.DEFAULT);
  }

  void onClosed(ProxyConnection connection) {
    connections.remove(connection);
  }
}

package io.snipeloom.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.snipeloom.telemetry.LinkTraffic;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/**
 * The connection on which this instance sends requests to one other instance. It is opened by the
 * first request and reopened by the next request after it was closed.
 *
 * <p>Confined to the event loop thread.
 */
final class RequestConnection {
  /** Allows a few round trips between availability zones. */
  private static final int CONNECT_TIMEOUT_MILLIS = 100;

  /**
   * Age of the oldest pending request from which the connection counts as dead: the peer is gone or
   * packets are lost without a reset.
   */
  private static final long UNRESPONSIVE_NANOS = 1_000_000_000L;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final LinkTraffic traffic;
  private final Map<Long, PendingRequest> pending = new LinkedHashMap<>();
  private Channel channel;
  private long lastCorrelationId;

  private record PendingRequest(
      CorrelatedMessage message, long sentNanos, Consumer<Optional<CorrelatedMessage>> listener) {}

  RequestConnection(EventLoop loop, InetSocketAddress address, LinkTraffic traffic) {
    this.loop = loop;
    this.address = address;
    this.traffic = traffic;
  }

  InetSocketAddress address() {
    return address;
  }

  /**
   * Sends a request, opening the connection if needed. A connection that has become unresponsive is
   * closed first.
   *
   * @param encoder creates the request with a given correlation identifier
   * @param listener called once with the response, empty if the connection failed
   */
  void request(
      LongFunction<CorrelatedMessage> encoder, Consumer<Optional<CorrelatedMessage>> listener) {
    if (isUnresponsive()) {
      close();
    }
    long id = ++lastCorrelationId;
    CorrelatedMessage message = encoder.apply(id);
    pending.put(id, new PendingRequest(message, System.nanoTime(), listener));
    if (channel == null) {
      connect();
    } else if (channel.isActive()) {
      send(message);
    }
  }

  /** Closes the connection; pending requests get no response. */
  void close() {
    Channel closing = channel;
    channel = null;
    if (closing != null) {
      ChannelFuture unused = closing.close();
    }
    failPending();
  }

  private boolean isUnresponsive() {
    return !pending.isEmpty()
        && System.nanoTime() - pending.values().iterator().next().sentNanos() > UNRESPONSIVE_NANOS;
  }

  private void connect() {
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
                        RequestConnection.this::onMessage,
                        () -> onClosed(connection));
                  }
                })
            .connect(address);
    channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            sendPending(connecting.channel());
          } else {
            onClosed(connecting.channel());
          }
        });
  }

  /** Sends the requests that were made while the connection was opened. */
  private void sendPending(Channel opened) {
    if (opened == channel) {
      pending.values().forEach(request -> send(request.message()));
    }
  }

  private void send(CorrelatedMessage request) {
    ChannelFuture unused = PeerFrames.send(channel, request);
  }

  private void onMessage(PeerMessage message) {
    if (message instanceof CorrelatedMessage response) {
      PendingRequest request = pending.remove(response.correlationId());
      if (request != null) {
        request.listener().accept(Optional.of(response));
      }
    }
  }

  private void onClosed(Channel closed) {
    if (closed == channel) {
      channel = null;
      failPending();
    }
  }

  private void failPending() {
    List<PendingRequest> failed = new ArrayList<>(pending.values());
    pending.clear();
    failed.forEach(request -> request.listener().accept(Optional.empty()));
  }
}

package io.snipeloom.transport;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.MessageCodec;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.LogLine;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Handles the handshake, the heartbeats and the messages of one connection. Confined to the event
 * loop of its channel, except for the methods of {@link FrameConnection}.
 */
final class FrameHandler extends ChannelInboundHandlerAdapter implements FrameConnection {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Handshake handshake;
  private final FrameSettings settings;
  private final FrameListener listener;
  private final Supplier<Message.Heartbeat> loadSupplier;
  private final MetricRegistry metrics;

  private volatile ChannelHandlerContext context;
  private boolean open;
  private boolean closed;
  private long lastReadNanos;
  private ScheduledFuture<?> heartbeatTimer;

  FrameHandler(
      Handshake handshake,
      FrameSettings settings,
      FrameListener listener,
      Supplier<Message.Heartbeat> loadSupplier,
      MetricRegistry metrics) {
    this.handshake = handshake;
    this.settings = settings;
    this.listener = listener;
    this.loadSupplier = loadSupplier;
    this.metrics = metrics;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    lastReadNanos = System.nanoTime();
    long interval = settings.heartbeatInterval().toNanos();
    heartbeatTimer =
        ctx.executor()
            .scheduleAtFixedRate(this::onHeartbeatTimer, interval, interval, TimeUnit.NANOSECONDS);
    if (handshake.side() == Handshake.Side.CLIENT) {
      send(handshake.hello());
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object frame) {
    ByteBuf buffer = (ByteBuf) frame;
    try {
      lastReadNanos = System.nanoTime();
      byte[] bytes = new byte[buffer.readableBytes()];
      buffer.readBytes(bytes);
      receive(MessageCodec.decode(bytes));
    } catch (SnipeloomException e) {
      closeOnce(e);
    } finally {
      buffer.release();
    }
  }

  private void receive(Message message) {
    if (!open) {
      receiveHandshake(message);
    } else if (message instanceof Message.Hello || message instanceof Message.Proof) {
      throw SnipeloomException.of(
          ErrorCode.MALFORMED_FRAME, "handshake message received after the handshake");
    } else if (!closed) {
      listener.onMessage(this, message);
    }
  }

  private void receiveHandshake(Message message) {
    boolean isClient = handshake.side() == Handshake.Side.CLIENT;
    if (message instanceof Message.Hello hello && !handshake.hasPeerHello()) {
      handshake.acceptHello(hello);
      send(isClient ? handshake.proof() : handshake.hello());
    } else if (message instanceof Message.Proof proof && handshake.hasPeerHello()) {
      handshake.acceptProof(proof);
      if (!isClient) {
        send(handshake.proof());
      }
      completeHandshake();
    } else {
      throw SnipeloomException.of(
          ErrorCode.UNAUTHENTICATED, "unexpected message during the handshake");
    }
  }

  private void completeHandshake() {
    open = true;
    metrics.counter("transport.connections.open").inc();
    logger.atInfo().log("%s", logLine("connection.opened"));
    listener.onOpened(this);
    send(loadSupplier.get());
  }

  private void onHeartbeatTimer() {
    long idleNanos = System.nanoTime() - lastReadNanos;
    if (idleNanos > settings.heartbeatTimeout().toNanos()) {
      metrics.meter("transport.connections.silent").mark();
      closeOnce(
          connectionLost(
              "no frame received for " + TimeUnit.NANOSECONDS.toMillis(idleNanos) + " ms"));
    } else if (open) {
      send(loadSupplier.get());
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (open && !closed && ctx.channel().isWritable()) {
      listener.onWritable(this);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closeOnce(connectionLost("the peer closed the connection"));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof TooLongFrameException) {
      closeOnce(
          SnipeloomException.of(ErrorCode.MALFORMED_FRAME, "frame exceeds the maximum length"));
    } else if (cause instanceof DecoderException) {
      closeOnce(SnipeloomException.of(ErrorCode.MALFORMED_FRAME, "frame could not be decoded"));
    } else {
      closeOnce(connectionLost(String.valueOf(cause.getMessage())).withCause(cause));
    }
  }

  private void closeOnce(SnipeloomException reason) {
    if (closed) {
      return;
    }
    closed = true;
    heartbeatTimer.cancel(false);
    markRejected(reason.code());
    logger.atInfo().log(
        "%s",
        logLine("connection.closed")
            .with("code", reason.code().text())
            .with("reason", reason.getMessage()));
    var unused = context.close();
    notifyListener(reason.withOrigin("connection", peerText()));
  }

  private void notifyListener(SnipeloomException reason) {
    if (open) {
      metrics.counter("transport.connections.open").dec();
      listener.onClosed(this, reason);
    } else if (handshake.side() == Handshake.Side.CLIENT) {
      listener.onFailed(reason);
    }
  }

  private void markRejected(ErrorCode code) {
    if (code == ErrorCode.MALFORMED_FRAME) {
      metrics.meter("transport.frames.malformed").mark();
    } else if (code == ErrorCode.UNAUTHENTICATED) {
      metrics.meter("transport.handshakes.refused").mark();
    }
  }

  @Override
  public Incarnation peer() {
    return handshake.peer();
  }

  @Override
  public boolean isWritable() {
    return context.channel().isWritable();
  }

  @Override
  public void send(Message message) {
    ByteBuf frame = Unpooled.wrappedBuffer(MessageCodec.encode(message));
    var unused = context.writeAndFlush(frame, context.voidPromise());
  }

  @Override
  public void close(String reason) {
    context.executor().execute(() -> closeOnce(connectionLost(reason)));
  }

  private LogLine logLine(String event) {
    return LogLine.of(event).with("peer", peerText()).with("side", handshake.side());
  }

  private String peerText() {
    String address = String.valueOf(context.channel().remoteAddress());
    return handshake.hasPeerHello() ? handshake.peer() + "@" + address : address;
  }

  private static SnipeloomException connectionLost(String reason) {
    return SnipeloomException.of(ErrorCode.CONNECTION_LOST, reason).withRunState(RunState.UNKNOWN);
  }
}

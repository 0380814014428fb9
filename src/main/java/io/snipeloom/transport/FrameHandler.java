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
 * Runs one connection: handshake, heartbeats, frames. Confined to the event loop of its channel.
 */
final class FrameHandler extends ChannelInboundHandlerAdapter implements FrameConnection {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Handshake handshake;
  private final FrameSettings settings;
  private final FrameListener listener;
  private final Supplier<Message.Heartbeat> load;
  private final MetricRegistry metrics;

  private volatile ChannelHandlerContext context;
  private boolean open;
  private boolean finished;
  private long lastReadNanos;
  private ScheduledFuture<?> timer;

  FrameHandler(
      Handshake handshake,
      FrameSettings settings,
      FrameListener listener,
      Supplier<Message.Heartbeat> load,
      MetricRegistry metrics) {
    this.handshake = handshake;
    this.settings = settings;
    this.listener = listener;
    this.load = load;
    this.metrics = metrics;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    lastReadNanos = System.nanoTime();
    long interval = settings.heartbeatInterval().toNanos();
    timer =
        ctx.executor().scheduleAtFixedRate(this::beat, interval, interval, TimeUnit.NANOSECONDS);
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
      finish(e);
    } finally {
      buffer.release();
    }
  }

  private void receive(Message message) {
    if (!open) {
      receiveHandshake(message);
    } else if (message instanceof Message.Hello || message instanceof Message.Proof) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_FRAME, "a second handshake");
    } else if (!finished) {
      listener.onMessage(this, message);
    }
  }

  private void receiveHandshake(Message message) {
    boolean client = handshake.side() == Handshake.Side.CLIENT;
    if (message instanceof Message.Hello hello && !handshake.hasPeerHello()) {
      handshake.acceptHello(hello);
      send(client ? handshake.proof() : handshake.hello());
    } else if (message instanceof Message.Proof proof && handshake.hasPeerHello()) {
      handshake.acceptProof(proof);
      if (!client) {
        send(handshake.proof());
      }
      enterOpen();
    } else {
      throw SnipeloomException.of(ErrorCode.UNAUTHENTICATED, "a frame before the handshake");
    }
  }

  private void enterOpen() {
    open = true;
    metrics.counter("transport.connections.open").inc();
    logger.atInfo().log("%s", line("connection.opened"));
    listener.onOpened(this);
    send(load.get());
  }

  private void beat() {
    long silentNanos = System.nanoTime() - lastReadNanos;
    if (silentNanos > settings.silenceLimit().toNanos()) {
      metrics.meter("transport.connections.silent").mark();
      finish(lost("no frame for " + TimeUnit.NANOSECONDS.toMillis(silentNanos) + " ms"));
    } else if (open) {
      send(load.get());
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (open && !finished && ctx.channel().isWritable()) {
      listener.onWritable(this);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    finish(lost("the peer closed the connection"));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof TooLongFrameException) {
      finish(SnipeloomException.of(ErrorCode.MALFORMED_FRAME, "the frame is too long"));
    } else if (cause instanceof DecoderException) {
      finish(SnipeloomException.of(ErrorCode.MALFORMED_FRAME, "the framing is broken"));
    } else {
      finish(lost(String.valueOf(cause.getMessage())).withCause(cause));
    }
  }

  private void finish(SnipeloomException reason) {
    if (finished) {
      return;
    }
    finished = true;
    timer.cancel(false);
    count(reason.code());
    logger.atInfo().log(
        "%s",
        line("connection.closed")
            .with("code", reason.code().text())
            .with("reason", reason.getMessage()));
    var unused = context.close();
    report(reason.withOrigin("connection", peerText()));
  }

  private void report(SnipeloomException reason) {
    if (open) {
      metrics.counter("transport.connections.open").dec();
      listener.onClosed(this, reason);
    } else if (handshake.side() == Handshake.Side.CLIENT) {
      listener.onFailed(reason);
    }
  }

  private void count(ErrorCode code) {
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
    context.executor().execute(() -> finish(lost(reason)));
  }

  private LogLine line(String event) {
    return LogLine.of(event).with("peer", peerText()).with("side", handshake.side());
  }

  private String peerText() {
    String address = String.valueOf(context.channel().remoteAddress());
    return handshake.hasPeerHello() ? handshake.peer() + "@" + address : address;
  }

  private static SnipeloomException lost(String reason) {
    return SnipeloomException.of(ErrorCode.CONNECTION_LOST, reason).withRunState(RunState.UNKNOWN);
  }
}

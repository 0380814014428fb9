package io.snipeloom.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.snipeloom.telemetry.LinkTraffic;
import java.util.function.Consumer;

/** Framing of connections between instances: a four-byte length followed by one message. */
final class PeerFrames {
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_FRAME_BYTES = 1_048_576;

  private PeerFrames() {}

  /**
   * Adds the framing and a message handler to a channel. A malformed frame closes the connection.
   *
   * @param traffic counts the bytes
   * @param onMessage receives each message
   * @param onClosed runs once the connection is closed
   */
  static void addTo(
      Channel channel, LinkTraffic traffic, Consumer<PeerMessage> onMessage, Runnable onClosed) {
    channel
        .pipeline()
        .addLast(traffic.meter(LinkTraffic.Purpose.PEERS))
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new Handler(onMessage, onClosed));
  }

  static ChannelFuture send(Channel channel, PeerMessage message) {
    return channel.writeAndFlush(Unpooled.wrappedBuffer(message.toBytes()));
  }

  private static final class Handler extends SimpleChannelInboundHandler<ByteBuf> {
    private final Consumer<PeerMessage> onMessage;
    private final Runnable onClosed;

    Handler(Consumer<PeerMessage> onMessage, Runnable onClosed) {
      this.onMessage = onMessage;
      this.onClosed = onClosed;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      onMessage.accept(PeerMessage.parse(ByteBufUtil.getBytes(frame)));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      onClosed.run();
    }

    /**
     * Closes the connection after a connection reset or a malformed frame; {@link #channelInactive}
     * then runs.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      ChannelFuture unused = context.close();
    }
  }
}

package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.function.IntPredicate;

/**
 * Reads at once what has arrived on a connection and the event loop has not come to read yet.
 *
 * <p>Only a handler that counts bytes may go before it. Confined to the event loop thread.
 */
// A failed close also closes the channel, which the channel handlers detect.
@SuppressWarnings("FutureReturnValueIgnored")
final class ArrivalReader extends ChannelInboundHandlerAdapter {
  private final IntPredicate onBytes;
  private Channel channel;
  private boolean bytesRead;

  /**
   * Creates the reader of one channel.
   *
   * @param onBytes called with the number of bytes that were read, before they are decoded; if it
   *     returns false, they are dropped and the connection is closed
   */
  ArrivalReader(IntPredicate onBytes) {
    this.onBytes = onBytes;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    bytesRead = true;
    if (onBytes.test(((ByteBuf) message).readableBytes())) {
      super.channelRead(context, message);
    } else {
      ReferenceCountUtil.release(message);
      channel.close();
    }
  }

  /**
   * Reads until nothing is left, automatic reading is off or the {@link ReadBound} is reached, and
   * returns whether the connection is open. Must not be called while the connection is being read.
   */
  boolean readArrived() {
    AbstractNioChannel.NioUnsafe socket = (AbstractNioChannel.NioUnsafe) channel.unsafe();
    ReadBound bound = new ReadBound(System::nanoTime);
    bytesRead = true;
    while (bytesRead && channel.isActive() && channel.config().isAutoRead() && bound.tryRound()) {
      bytesRead = false;
      socket.read();
    }
    return channel.isActive();
  }
}

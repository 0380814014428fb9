package io.snipeloom.forwarding;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads at once what has arrived on a connection and the event loop has not come to read yet.
 *
 * <p>It must be the first handler of its channel. Confined to the event loop thread.
 */
final class ArrivalReader extends ChannelInboundHandlerAdapter {
  private final Runnable onBytes;
  private Channel channel;
  private boolean bytesRead;

  /**
   * Creates the reader of one channel.
   *
   * @param onBytes called when bytes were read, before they are decoded
   */
  ArrivalReader(Runnable onBytes) {
    this.onBytes = onBytes;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    bytesRead = true;
    onBytes.run();
    super.channelRead(context, message);
  }

  /**
   * Reads until nothing is left or automatic reading is off, and returns whether the connection is
   * open. Must not be called while the connection is being read.
   */
  boolean readArrived() {
    AbstractNioChannel.NioUnsafe socket = (AbstractNioChannel.NioUnsafe) channel.unsafe();
    bytesRead = true;
    while (bytesRead && channel.isActive() && channel.config().isAutoRead()) {
      bytesRead = false;
      socket.read();
    }
    return channel.isActive();
  }
}

package io.snipeloom.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Builds the pipeline of a channel: length-prefixed frames of bounded size, then the handler. */
final class FrameChannels {
  static final int LENGTH_BYTES = 4;
  private static final int FLUSHES_PER_READ = 256;
  private static final long SHUTDOWN_LIMIT_MILLIS = 2000;

  private FrameChannels() {}

  static ChannelInitializer<SocketChannel> initializer(
      FrameSettings settings, Predicate<SocketChannel> admission, Supplier<FrameHandler> handlers) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        if (admission.test(channel)) {
          addHandlers(channel, settings, handlers.get());
        } else {
          var unused = channel.close();
        }
      }
    };
  }

  private static void addHandlers(Channel channel, FrameSettings settings, FrameHandler handler) {
    channel
        .pipeline()
        .addLast(new FlushConsolidationHandler(FLUSHES_PER_READ, true))
        .addLast(
            new LengthFieldBasedFrameDecoder(
                settings.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(handler);
  }

  static void shutDown(EventLoopGroup loops) {
    loops
        .shutdownGracefully(0, SHUTDOWN_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(SHUTDOWN_LIMIT_MILLIS);
  }
}

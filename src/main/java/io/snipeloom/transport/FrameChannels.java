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

/** Builds channel pipelines: length-prefixed frames of limited size, followed by a handler. */
final class FrameChannels {
  static final int LENGTH_FIELD_BYTES = 4;
  private static final int MAX_WRITES_PER_FLUSH = 256;
  private static final long SHUTDOWN_TIMEOUT_MILLIS = 2000;

  private FrameChannels() {}

  static ChannelInitializer<SocketChannel> initializer(
      FrameSettings settings,
      Predicate<SocketChannel> acceptFilter,
      Supplier<FrameHandler> handlerFactory) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        if (acceptFilter.test(channel)) {
          addHandlers(channel, settings, handlerFactory.get());
        } else {
          var unused = channel.close();
        }
      }
    };
  }

  private static void addHandlers(Channel channel, FrameSettings settings, FrameHandler handler) {
    channel
        .pipeline()
        .addLast(new FlushConsolidationHandler(MAX_WRITES_PER_FLUSH, true))
        .addLast(
            new LengthFieldBasedFrameDecoder(
                settings.maxFrameBytes(), 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
        .addLast(handler);
  }

  static void shutDown(EventLoopGroup eventLoops) {
    eventLoops
        .shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
  }
}

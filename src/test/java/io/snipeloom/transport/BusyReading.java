package io.snipeloom.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Keeps an event loop busy in the middle of a pass over its ready connections, as the backlog of
 * many callers does. What arrives meanwhile is read in the next pass, after the tasks that have
 * become due. Thread-safe.
 */
public final class BusyReading implements AutoCloseable {
  private final Semaphore begun = new Semaphore(0);
  private final Channel channel;
  private volatile long busyNanos;

  /** Adds a channel to an event loop, whose reading takes as long as {@link #begin} says. */
  public BusyReading(EventLoop loop) {
    channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(new SlowHandler())
            .bind(InetAddress.getLoopbackAddress(), 0)
            .syncUninterruptibly()
            .channel();
  }

  /** Begins a pass that lasts for some time, and returns once it has begun. */
  public void begin(long millis) throws IOException, InterruptedException {
    busyNanos = TimeUnit.MILLISECONDS.toNanos(millis);
    try (DatagramSocket sender = new DatagramSocket()) {
      InetSocketAddress address = (InetSocketAddress) channel.localAddress();
      sender.send(new DatagramPacket(new byte[1], 1, address));
    }
    begun.acquire();
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
  }

  private final class SlowHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ReferenceCountUtil.release(message);
      begun.release();
      LockSupport.parkNanos(busyNanos);
    }
  }
}

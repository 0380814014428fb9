package io.snipeloom.edge;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/**
 * An HTTP server for readiness probes or metrics. Every request, whatever its path, gets the
 * current plain-text response. Confined to the event loop thread.
 */
// A failed write or close also closes the channel, so the futures need no handling.
@SuppressWarnings("FutureReturnValueIgnored")
final class OperationsServer {
  private static final int MAX_REQUEST_BODY_BYTES = 4_096;

  private final EventLoop loop;
  private final Supplier<TextResponse> responses;

  /** An HTTP status and a plain-text body. */
  record TextResponse(int status, String body) {}

  OperationsServer(EventLoop loop, Supplier<TextResponse> responses) {
    this.loop = loop;
    this.responses = responses;
  }

  void start(InetSocketAddress address) {
    new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpServerCodec());
                channel.pipeline().addLast(new HttpObjectAggregator(MAX_REQUEST_BODY_BYTES));
                channel.pipeline().addLast(new Handler());
              }
            })
        .bind(address)
        .syncUninterruptibly();
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      TextResponse current = responses.get();
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(current.status()),
              Unpooled.copiedBuffer(current.body(), StandardCharsets.UTF_8));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
      HttpUtil.setContentLength(response, response.content().readableBytes());
      var write = context.writeAndFlush(response);
      if (!HttpUtil.isKeepAlive(request)) {
        write.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}

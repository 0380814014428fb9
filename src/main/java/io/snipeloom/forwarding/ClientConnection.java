package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * An HTTP connection to a peer that carries one request at a time.
 *
 * <p>A connection is used again only if the last answer was complete, properly framed and followed
 * by nothing else. Belongs to its event loop.
 */
// A failed write or close also closes the channel, which is handled where it is noticed.
@SuppressWarnings("FutureReturnValueIgnored")
final class ClientConnection extends ChannelInboundHandlerAdapter {
  private final Runnable onIdle;
  private Channel channel;
  private AnswerListener listener;
  private boolean written;
  private boolean skipping;
  private boolean spoilt;
  private boolean reusable;
  private boolean reset;
  private HttpHeaders lastHeaders = new DefaultHttpHeaders();
  private long idleSinceNanos;

  /**
   * Creates the handler of a connection.
   *
   * @param onIdle called when the connection can carry the next request
   */
  ClientConnection(Runnable onIdle) {
    this.onIdle = onIdle;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Sends a request; the body is released. */
  void send(
      HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, AnswerListener receiver) {
    listener = receiver;
    written = false;
    skipping = false;
    reusable = false;
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, method, uri, body, headers, new DefaultHttpHeaders());
    receiver.onSent();
    channel.writeAndFlush(request).addListener(done -> written = done.isSuccess());
  }

  /** Closes the connection; an open request gets no further calls. */
  void abandon() {
    listener = null;
    channel.close();
  }

  boolean isUsable() {
    return channel.isActive() && listener == null;
  }

  void readMore(boolean wanted) {
    channel.config().setAutoRead(wanted);
  }

  HttpHeaders lastHeaders() {
    return lastHeaders;
  }

  long idleSinceNanos() {
    return idleSinceNanos;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      onMessage((HttpObject) message);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onMessage(HttpObject message) {
    if (listener == null) {
      channel.close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      fail("malformed answer");
      return;
    }
    if (message instanceof HttpResponse head) {
      onHead(head);
    }
    if (message instanceof HttpContent content && listener != null) {
      onContent(content);
    }
  }

  private void onHead(HttpResponse head) {
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipping = true;
      return;
    }
    lastHeaders = head.headers();
    boolean framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    reusable = framed && HttpUtil.isKeepAlive(head);
    skipping = !listener.onHead(head);
    spoilt |= skipping;
  }

  private void onContent(HttpContent content) {
    if (reset) {
      return;
    }
    if (!skipping && content.content().isReadable()) {
      listener.onContent(content.content());
    }
    if (content instanceof LastHttpContent && listener != null) {
      onLast();
    }
  }

  private void onLast() {
    if (skipping) {
      return;
    }
    AnswerListener receiver = listener;
    listener = null;
    if (reusable && written && !spoilt) {
      idleSinceNanos = System.nanoTime();
      channel.config().setAutoRead(true);
      receiver.onEnd();
      channel.eventLoop().execute(this::offerIdle);
    } else {
      channel.close();
      receiver.onEnd();
    }
  }

  /** Runs after the bytes that came with the answer, so a spoilt connection is closed by now. */
  private void offerIdle() {
    if (isUsable()) {
      onIdle.run();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    reset = true;
    fail(String.valueOf(cause.getMessage()));
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail(reset ? "reset" : "closed");
  }

  private void fail(String reason) {
    AnswerListener receiver = listener;
    listener = null;
    channel.close();
    if (receiver != null) {
      receiver.onBroken(reason);
    }
  }
}

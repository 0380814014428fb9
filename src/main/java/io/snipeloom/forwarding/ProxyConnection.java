package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The connection of one caller: collects a request, runs its exchange, then takes the next.
 *
 * <p>Reading goes on during an exchange, so that a caller who leaves is noticed; requests that come
 * early wait. Belongs to its event loop.
 */
// A failed write or close also closes the channel, which is handled where it is noticed.
@SuppressWarnings("FutureReturnValueIgnored")
final class ProxyConnection extends ChannelInboundHandlerAdapter implements CallerChannel {
  private static final int MAX_WAITING_MESSAGES = 64;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A body may take this long in addition to its header. */
  private static final long BODY_TIMEOUT_MILLIS = 10_000;

  /** Once the event loop stood still this long, callers may have left unnoticed. */
  private static final long STALL_NANOS = 200_000_000L;

  /** Time to read the close of a caller that left during a stall. */
  private static final long STALL_DELAY_MILLIS = 4;

  private final ProxyServer server;
  private final EventLoop loop;
  private final Fleet fleet;
  private final EventLog log;
  private final FleetMetrics metrics;
  private final Deque<HttpObject> waiting = new ArrayDeque<>();
  private Channel channel;
  private HttpRequest head;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private long headNanos;
  private long headerSinceNanos;
  private boolean inHeader;
  private long quietSinceNanos;
  private Exchange exchange;
  private boolean keepAlive;
  private boolean rejected;

  ProxyConnection(
      ProxyServer server, EventLoop loop, Fleet fleet, EventLog log, FleetMetrics metrics) {
    this.server = server;
    this.loop = loop;
    this.fleet = fleet;
    this.log = log;
    this.metrics = metrics;
    this.quietSinceNanos = System.nanoTime();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (exchange != null || !waiting.isEmpty()) {
      waiting.add((HttpObject) message);
      if (waiting.size() >= MAX_WAITING_MESSAGES) {
        channel.config().setAutoRead(false);
      }
      return;
    }
    take((HttpObject) message);
  }

  /** Takes note that bytes arrived, before they are decoded. */
  void onBytes() {
    if (exchange == null && head == null && !inHeader) {
      inHeader = true;
      headerSinceNanos = System.nanoTime();
    }
  }

  private void take(HttpObject message) {
    try {
      if (rejected) {
        return;
      }
      if (message.decoderResult().isFailure()) {
        onMalformed(message.decoderResult().cause());
        return;
      }
      if (message instanceof HttpRequest request) {
        onHead(request);
      }
      if (message instanceof HttpContent content && head != null) {
        onBody(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onMalformed(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    reject(
        tooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST,
        String.valueOf(cause));
  }

  private void onHead(HttpRequest request) {
    head = request;
    inHeader = false;
    headNanos = System.nanoTime();
    body = Unpooled.buffer(0);
    keepAlive = HttpUtil.isKeepAlive(request);
    if (request.method().equals(HttpMethod.CONNECT) || !request.uri().startsWith("/")) {
      reject(HttpResponseStatus.BAD_REQUEST, "target is no path");
    } else if (HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
    } else if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void onBody(HttpContent content) {
    if (rejected) {
      return;
    }
    if (body.readableBytes() + content.content().readableBytes() > server.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
      return;
    }
    body.writeBytes(content.content());
    if (content instanceof LastHttpContent) {
      startExchange();
    }
  }

  private void startExchange() {
    CallerRequest request =
        new CallerRequest(head.method(), head.uri(), head.headers(), body, headNanos);
    head = null;
    body = Unpooled.EMPTY_BUFFER;
    exchange = new Exchange(loop, fleet, log, metrics, request, this, this::onExchangeDone);
    if (server.isStalled(STALL_NANOS)) {
      loop.schedule(this::beginIfOpen, STALL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      exchange.start();
    }
  }

  private void beginIfOpen() {
    if (exchange != null && isOpen()) {
      exchange.start();
    }
  }

  private void onExchangeDone() {
    exchange = null;
    inHeader = false;
    quietSinceNanos = System.nanoTime();
    loop.execute(this::takeWaiting);
  }

  private void takeWaiting() {
    while (exchange == null && !waiting.isEmpty()) {
      take(waiting.poll());
    }
    if (waiting.isEmpty()) {
      channel.config().setAutoRead(true);
    }
  }

  private void reject(HttpResponseStatus status, String reason) {
    rejected = true;
    keepAlive = false;
    log.log("rejected", "status", status.code(), "reason", reason);
    metrics.count("rejected_" + status.code());
    sendWhole(status.code(), new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (exchange != null) {
      exchange.onCallerWritable(channel.isWritable());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    channel.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    server.onClosed(this);
    waiting.forEach(ReferenceCountUtil::release);
    waiting.clear();
    if (exchange != null) {
      exchange.onCallerGone();
    }
  }

  boolean isBusy() {
    return exchange != null || head != null || !waiting.isEmpty();
  }

  void closeIfIdle() {
    if (!isBusy()) {
      channel.close();
    }
  }

  void closeIfOverdue(long nowNanos) {
    if (exchange != null) {
      return;
    }
    if (head != null) {
      long bodyNanos = BODY_TIMEOUT_MILLIS * NANOS_PER_MILLI;
      if (nowNanos - headNanos > bodyNanos) {
        reject(HttpResponseStatus.REQUEST_TIMEOUT, "body took too long");
      }
      return;
    }
    long headerNanos = server.limits().headerTimeoutMillis() * NANOS_PER_MILLI;
    if (inHeader && nowNanos - headerSinceNanos > headerNanos) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, "header took too long");
      return;
    }
    long idleNanos = server.limits().idleTimeoutMillis() * NANOS_PER_MILLI;
    if (nowNanos - quietSinceNanos > idleNanos) {
      channel.close();
    }
  }

  @Override
  public boolean isOpen() {
    return channel.isActive();
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  @Override
  public void sendWhole(int status, HttpHeaders headers, ByteBuf answer) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            answer,
            headers,
            new DefaultHttpHeaders());
    headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.readableBytes());
    boolean close = announceClose(headers);
    var written = channel.writeAndFlush(response);
    if (close) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void sendHead(int status, HttpHeaders headers) {
    headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    announceClose(headers);
    channel.write(
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
  }

  @Override
  public void sendPart(ByteBuf part) {
    channel.writeAndFlush(new DefaultHttpContent(part));
  }

  @Override
  public void sendEnd() {
    var written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void breakOff() {
    channel.close();
  }

  /** Adds the header that ends the connection, if this is its last answer. */
  private boolean announceClose(HttpHeaders headers) {
    if (server.isDraining()) {
      keepAlive = false;
    }
    if (!keepAlive) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return !keepAlive;
  }
}

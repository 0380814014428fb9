package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.snipeloom.buffering.BufferDecision;
import io.snipeloom.buffering.RequestBuffer;
import io.snipeloom.buffering.RequestBuffers;
import io.snipeloom.buffering.ResponseBuffer;
import io.snipeloom.buffering.ResponseReader;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The connection of one caller, which processes one request at a time.
 *
 * <p>Reading continues during an exchange, so that a disconnect of the caller is detected;
 * pipelined requests are queued. Confined to the event loop thread.
 */
// A failed write or close also closes the channel, which the channel handlers detect.
@SuppressWarnings("FutureReturnValueIgnored")
final class ProxyConnection extends ChannelInboundHandlerAdapter
    implements CallerChannel, ResponseReader {
  private static final int MAX_PENDING_MESSAGES = 64;

  /** The most bytes beside a head without a request, a part of its body or an error among them. */
  private static final int MAX_UNDECODED_BYTES = 262_144;

  private final ProxyServer server;
  private final EventLoop loop;
  private final Fleet fleet;
  private final EventLog log;
  private final FleetMetrics metrics;
  private final ArrivalReader reader = new ArrivalReader(this::onBytes);
  private final Deque<HttpObject> pendingMessages = new ArrayDeque<>();
  private Channel channel;
  private HttpRequest head;
  private ResponseBuffer buffer;
  private CallerWriter writer;
  private IncomingBody body;
  private final CallerTimeouts timeouts = new CallerTimeouts(System.nanoTime());
  private long loopDelayMillis;
  private int undecodedBytes;
  private Exchange exchange;
  private boolean keepAlive;

  /** Whether the request that is answered is a HEAD request, so that its answer has no body. */
  private boolean answeringHead;

  private boolean rejected;

  /** Whether a request was refused whose body the caller still sends. */
  private boolean discardingBody;

  private boolean closeOnceWritten;
  private String lastAttemptId = "";

  ProxyConnection(
      ProxyServer server, EventLoop loop, Fleet fleet, EventLog log, FleetMetrics metrics) {
    this.server = server;
    this.loop = loop;
    this.fleet = fleet;
    this.log = log;
    this.metrics = metrics;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
    buffer = fleet.buffers().responses().open(this);
    writer = new CallerWriter(channel, buffer, this::onAllWritten);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    undecodedBytes = 0;
    if (exchange != null || !pendingMessages.isEmpty() || !writer.takesNextResponse()) {
      pendingMessages.add((HttpObject) message);
      if (pendingMessages.size() >= MAX_PENDING_MESSAGES) {
        channel.config().setAutoRead(false);
      }
      return;
    }
    process((HttpObject) message);
  }

  /** Returns the handler that reads the connection, which goes before the decoder. */
  ArrivalReader reader() {
    return reader;
  }

  /** Returns the encoder of the responses, which writes no body behind the head for HEAD. */
  HttpResponseEncoder encoder() {
    return new HttpResponseEncoder() {
      @Override
      protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return answeringHead || super.isContentAlwaysEmpty(response);
      }
    };
  }

  /** Returns whether bytes may be decoded: empty lines in place of a request have an end. */
  private boolean onBytes(int bytes) {
    undecodedBytes += bytes;
    if (exchange == null && head == null) {
      timeouts.onHeaderBytes(System.nanoTime());
    }
    return undecodedBytes <= MAX_UNDECODED_BYTES + server.limits().maxHeaderBytes();
  }

  private void process(HttpObject message) {
    try {
      if (rejected) {
        closeAfterDiscarding(message);
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
    timeouts.onHeader(System.nanoTime());
    loopDelayMillis = server.loopDelayMillis(timeouts.headerEndNanos());
    keepAlive = HttpUtil.isKeepAlive(request);
    answeringHead = request.method().equals(HttpMethod.HEAD);
    if (request.method().equals(HttpMethod.CONNECT) || !request.uri().startsWith("/")) {
      reject(HttpResponseStatus.BAD_REQUEST, "request target is not a path");
    } else if (hasUnknownEncoding(request)) {
      reject(HttpResponseStatus.BAD_REQUEST, "the transfer encoding is not chunked alone");
    } else if (HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
    } else if (!beginBody(request)) {
      refuseUnheld();
    } else if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  /** Returns whether the end of the body may be where another reader does not see it. */
  private static boolean hasUnknownEncoding(HttpRequest request) {
    List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return !encodings.isEmpty()
        && !(encodings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0)));
  }

  /** Begins to receive a body; returns false if a body of the stated length cannot be held. */
  private boolean beginBody(HttpRequest request) {
    RequestBuffers buffers = fleet.buffers().requests();
    long statedBytes = HttpUtil.getContentLength(request, 0L);
    boolean mayBeLarge =
        !buffers.isSmall(statedBytes) || HttpUtil.isTransferEncodingChunked(request);
    Optional<CustomerId> customer =
        mayBeLarge ? fleet.customerOf(request.headers()) : Optional.empty();
    RequestBuffer held = buffers.open(customer);
    int maxBytes = statedBytes > 0 ? (int) statedBytes : server.limits().maxBodyBytes();
    body = new IncomingBody(held, maxBytes);
    return held.tryGrowTo(statedBytes);
  }

  /** Refuses a request that has not been sent to a replica, because its body cannot be held. */
  private void refuseUnheld() {
    rejected = true;
    discardingBody = true;
    keepAlive = false;
    releaseBody();
    String attemptId = fleet.attemptIdOf(head.headers());
    log.log(
        "request_not_held",
        "id",
        attemptId,
        "stated_bytes",
        HttpUtil.getContentLength(head, 0L),
        "held_bytes",
        fleet.buffers().requests().heldBytes(),
        "bound_bytes",
        fleet.buffers().bounds().requestBytes());
    metrics.count("request_not_held");
    LocalResponse refusal =
        LocalResponse.notExecuted(
            ErrorCode.OVERLOADED,
            "the body of the request cannot be held now",
            LocalResponse.spread(LocalResponse.BODY_RETRY_MILLIS, Math.random()),
            Long.MAX_VALUE);
    new CallerResponse(this, metrics, timeouts.headerEndNanos())
        .sendLocal(refusal, fleet.codec().localResponseHeaders(attemptId));
  }

  /** Closes the connection once the body of a refused request has passed. */
  private void closeAfterDiscarding(HttpObject message) {
    if (discardingBody && message instanceof LastHttpContent) {
      discardingBody = false;
      closeOnceWritten = true;
      if (writer.isIdle()) {
        channel.close();
      }
    }
  }

  private void releaseBody() {
    if (body != null) {
      body.release();
      body = null;
    }
  }

  private void onBody(HttpContent content) {
    if (rejected) {
      closeAfterDiscarding(content);
      return;
    }
    if (body.readableBytes() + content.content().readableBytes() > server.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      return;
    }
    if (!body.append(content.content())) {
      refuseUnheld();
      closeAfterDiscarding(content);
      return;
    }
    if (content instanceof LastHttpContent) {
      startExchange();
    }
  }

  private void startExchange() {
    CallerRequest request =
        new CallerRequest(
            head.method(),
            head.uri(),
            head.headers(),
            body.bytes(),
            body.buffer(),
            timeouts.headerEndNanos(),
            loopDelayMillis);
    head = null;
    body = null;
    exchange =
        new Exchange(
            loop,
            fleet,
            server.crashDetector(),
            log,
            metrics,
            request,
            this,
            this::onExchangeEnded);
    // Before it sends the request, the exchange reads the connection, which is being read now.
    loop.execute(this::startIfOpen);
  }

  private void startIfOpen() {
    if (exchange != null && isOpen()) {
      exchange.start();
    }
  }

  private void onExchangeEnded() {
    lastAttemptId = exchange.attemptId();
    exchange = null;
    timeouts.onRequestEnded(System.nanoTime());
    loop.execute(this::processPending);
  }

  private void processPending() {
    while (exchange == null && !pendingMessages.isEmpty() && writer.takesNextResponse()) {
      process(pendingMessages.poll());
    }
    if (pendingMessages.isEmpty()) {
      channel.config().setAutoRead(true);
    }
  }

  private void reject(HttpResponseStatus status, String reason) {
    rejected = true;
    keepAlive = false;
    releaseBody();
    log.log("rejected", "status", status.code(), "reason", reason);
    metrics.count("rejected_" + status.code());
    sendResponse(status.code(), new DefaultHttpHeaders(), new ByteParts());
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    writer.writeWaiting();
    continueWithPending();
  }

  private void continueWithPending() {
    if (!pendingMessages.isEmpty()) {
      loop.execute(this::processPending);
    }
  }

  /** Begins the next request, if its caller has read the response before it. */
  private void onAllWritten() {
    timeouts.onAllRead(System.nanoTime());
    if (closeOnceWritten) {
      channel.close();
    }
    continueWithPending();
  }

  @Override
  public void onStop() {
    if (exchange != null) {
      exchange.stopReading();
    }
  }

  @Override
  public void onRoom() {
    if (exchange != null) {
      exchange.resumeReading();
    }
  }

  @Override
  public void onCutOff() {
    cutOff("others need the room that the response takes");
  }

  @Override
  public void cutOff(String reason) {
    log.log(
        "response_cut_off",
        "id",
        currentAttemptId(),
        "customer",
        buffer.customer().map(CustomerId::value).orElse(""),
        "reason",
        reason,
        "unread_bytes",
        buffer.queuedBytes(),
        "complete",
        exchange == null,
        "held_bytes",
        fleet.buffers().responses().heldBytes());
    metrics.count("response_cut_off");
    if (exchange == null) {
      channel.close();
    } else {
      exchange.cutOff(reason);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (isBusy()) {
      log.log("caller_connection_failed", "id", currentAttemptId(), "reason", cause);
    }
    metrics.count("caller_connection_failed");
    channel.close();
  }

  /** Returns the attempt ID of the request that is processed, or of the last one. */
  private String currentAttemptId() {
    return exchange == null ? lastAttemptId : exchange.attemptId();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    server.onClosed(this);
    pendingMessages.forEach(ReferenceCountUtil::release);
    pendingMessages.clear();
    releaseBody();
    logUnread();
    writer.close();
    if (exchange != null) {
      exchange.onCallerGone();
    }
    buffer.close();
  }

  /** Logs that a caller left, or was left, before it had read its complete response. */
  private void logUnread() {
    if (exchange == null && buffer.queuedBytes() > 0) {
      log.log("response_unread", "id", lastAttemptId, "unread_bytes", buffer.queuedBytes());
      metrics.count("response_unread");
    }
  }

  void refuseIfConvicted() {
    if (exchange != null) {
      exchange.refuseIfConvicted();
    }
  }

  void endBeforeShutdown() {
    if (exchange != null) {
      exchange.endBeforeShutdown();
    }
  }

  boolean isBusy() {
    return exchange != null || head != null || !pendingMessages.isEmpty() || !writer.isIdle();
  }

  boolean hasUnwrittenAnswer() {
    return !writer.isIdle();
  }

  /** Closes the connection unless a request is in progress, or has arrived and was not read. */
  void closeIfIdle() {
    if (isBusy()) {
      return;
    }
    reader.readArrived();
    if (isBusy()) {
      metrics.count("request_read_before_close");
    } else if (channel.isActive()) {
      metrics.count("closed_idle_for_shutdown");
      channel.close();
    }
  }

  /** Closes the connection if a time limit has passed, and nothing that has arrived meets it. */
  void closeIfTimedOut(long nowNanos) {
    if (expired(nowNanos) == CallerTimeouts.Expiry.NONE) {
      return;
    }
    reader.readArrived();
    switch (expired(nowNanos)) {
      case HEADER -> reject(HttpResponseStatus.REQUEST_TIMEOUT, "header was not received in time");
      case BODY -> closeAfterBodyTimeout();
      case UNREAD -> cutOff("the caller reads nothing");
      case IDLE -> closeIdle();
      default -> metrics.count("request_read_before_close");
    }
  }

  private CallerTimeouts.Expiry expired(long nowNanos) {
    if (exchange != null || !channel.isActive()) {
      return CallerTimeouts.Expiry.NONE;
    }
    return timeouts.expired(head != null, writer, server.limits(), nowNanos);
  }

  private void closeAfterBodyTimeout() {
    if (rejected) {
      channel.close();
    } else {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, "body was not received in time");
    }
  }

  private void closeIdle() {
    metrics.count("closed_idle");
    channel.close();
  }

  @Override
  public boolean isOpen() {
    return channel.isActive();
  }

  @Override
  public boolean isStillConnected() {
    return reader.readArrived();
  }

  @Override
  public ResponseBuffer buffer() {
    return buffer;
  }

  @Override
  public void sendResponse(int status, HttpHeaders headers, ByteParts content) {
    headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    boolean close = announceClose(headers);
    writer.writeResponse(status, headers, content, close && !discardingBody);
  }

  @Override
  public void sendLocalResponse(int status, HttpHeaders headers, ByteBuf content) {
    if (buffer.onReceived(content.readableBytes()) == BufferDecision.CUT_OFF) {
      log.log("response_not_held", "id", currentAttemptId(), "status", status);
      metrics.count("response_not_held");
      content.release();
      channel.close();
      return;
    }
    ByteParts parts = new ByteParts();
    parts.append(content);
    content.release();
    sendResponse(status, headers, parts);
  }

  @Override
  public void sendHead(int status, HttpHeaders headers) {
    headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    announceClose(headers);
    writer.writeHead(status, headers);
  }

  @Override
  public void sendContent(ByteBuf part) {
    writer.writeContent(part);
  }

  @Override
  public void sendEnd() {
    writer.writeEnd(!keepAlive);
  }

  @Override
  public void abort() {
    channel.close();
  }

  /**
   * Adds the {@code Connection: close} header if this is the last response on the connection, and
   * returns whether it is. Requests that have arrived behind it are answered before the connection
   * of a draining instance is closed.
   */
  private boolean announceClose(HttpHeaders headers) {
    if ((server.isDraining() || server.isRerouted()) && pendingMessages.isEmpty()) {
      keepAlive = false;
    }
    if (!keepAlive) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return !keepAlive;
  }
}

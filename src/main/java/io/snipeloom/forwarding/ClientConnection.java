package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/**
 * An HTTP/1.1 connection to a peer that carries one request at a time.
 *
 * <p>A connection is reused only if the last response was complete, had an explicit length or
 * chunked encoding and was followed by no further bytes. It is closed when the peer sends bytes
 * without a request, or more than a {@link ReceiveAllowance} in place of a response. It carries no
 * request twice, since a second response to the first would name the second as well. Short pieces
 * of a body that are read together are passed on together. Confined to the event loop thread.
 */
// A failed write or close also closes the channel, which the channel handlers detect.
@SuppressWarnings("FutureReturnValueIgnored")
final class ClientConnection extends ChannelInboundHandlerAdapter {
  private static final int PART_BYTES = 65_536;

  /** The shortest piece of a body that is passed on by itself. */
  private static final int LONG_PIECE_BYTES = 4_096;

  /** How long after its last byte a response to a long request may turn out to be broken off. */
  private static final long RESET_WAIT_MILLIS = 100;

  private static final AtomicLong LAST_NUMBER = new AtomicLong();

  private final long number = LAST_NUMBER.incrementAndGet();
  private final Runnable onIdle;
  private final BiConsumer<ClientConnection, SurplusMoment> onSurplus;
  private final CarriedRequests carried = new CarriedRequests();
  private final ResponseDecoder decoder = new ResponseDecoder();
  private final ArrivalReader reader = new ArrivalReader(this::onBytes);
  private Channel channel;
  private ResponseListener listener;
  private ReceiveAllowance allowance = new ReceiveAllowance();
  private JoinedBody joinedBody = newBody();
  private ResponseFraming framing = ResponseFraming.NONE;
  private boolean written;
  private boolean longRequest;
  private boolean skippingResponse;
  private boolean outOfSync;
  private boolean reusable;
  private boolean reset;
  private boolean carriesHead;
  private boolean confirmingEnd;
  private HttpHeaders lastHeaders = new DefaultHttpHeaders();
  private String lastRequestId = "";
  private int requests;

  /** Short pieces of a body that were read together and are not passed on yet; null if none. */
  private ByteBuf gathered;

  private long idleSinceNanos;

  /**
   * Creates the handler of a connection.
   *
   * @param onIdle called when the connection can carry the next request
   * @param onSurplus called with the connection when bytes came that belong to no request
   */
  ClientConnection(Runnable onIdle, BiConsumer<ClientConnection, SurplusMoment> onSurplus) {
    this.onIdle = onIdle;
    this.onSurplus = onSurplus;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Sends a request and releases its body. */
  void send(
      HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, ResponseListener receiver) {
    listener = receiver;
    lastRequestId = receiver.requestId();
    requests++;
    carried.add(lastRequestId);
    carriesHead = method.equals(HttpMethod.HEAD);
    decoder.expectResponseTo(method);
    allowance = new ReceiveAllowance();
    joinedBody = newBody();
    written = false;
    longRequest = body.readableBytes() > PART_BYTES;
    skippingResponse = false;
    reusable = false;
    receiver.onSent();
    ChannelFuture request =
        body.readableBytes() > PART_BYTES
            ? writeInParts(new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri, headers), body)
            : channel.write(
                new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, method, uri, body, headers, new DefaultHttpHeaders()));
    request.addListener(
        done -> {
          receiver.onRequestReleased();
          onWritten(done.isSuccess());
        });
    channel.flush();
  }

  private JoinedBody newBody() {
    return new JoinedBody(carried::mayContain);
  }

  /** Writes a long body in parts, since the transport copies each buffer anew for each write. */
  private ChannelFuture writeInParts(HttpRequest head, ByteBuf body) {
    channel.write(head);
    while (body.isReadable()) {
      int bytes = Math.min(body.readableBytes(), PART_BYTES);
      channel.write(new DefaultHttpContent(body.readRetainedSlice(bytes)));
    }
    body.release();
    return channel.write(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /**
   * Records the outcome of the write. A failed write closes the channel, and that must not count as
   * the end of a response that ends with its connection.
   */
  private void onWritten(boolean succeeded) {
    written = succeeded;
    if (!succeeded) {
      fail("request could not be written");
    }
  }

  /** Closes the connection without notifying the listener of a pending request. */
  void close() {
    listener = null;
    passOnGathered();
    channel.close();
  }

  /** Closes the connection after the current response, whatever its head says. */
  void closeAfterResponse() {
    reusable = false;
  }

  /** Returns the number of the connection, which no other of this process has. */
  long number() {
    return number;
  }

  /** Returns how many requests the connection has carried, the current one included. */
  int requests() {
    return requests;
  }

  /** Returns the requests with an ID that the connection has carried, the current one included. */
  CarriedRequests carried() {
    return carried;
  }

  /** Returns the ID of the last request, empty if it has none. */
  String lastRequestId() {
    return lastRequestId;
  }

  /** Returns the decoder of responses, which goes before this handler. */
  ResponseDecoder decoder() {
    return decoder;
  }

  /** Returns the handler that reads the connection, which goes before the codec. */
  ArrivalReader reader() {
    return reader;
  }

  /**
   * Reads what has arrived from the peer, of which the listener is notified, and returns whether
   * the connection is open. Must not be called while the connection is being read.
   */
  boolean readArrived() {
    return reader.readArrived();
  }

  boolean isUsable() {
    return channel.isActive() && listener == null;
  }

  void setAutoRead(boolean enabled) {
    channel.config().setAutoRead(enabled);
  }

  HttpHeaders lastHeaders() {
    return lastHeaders;
  }

  /** Records that the connection is idle from now on. */
  void markIdle() {
    idleSinceNanos = System.nanoTime();
  }

  long idleSinceNanos() {
    return idleSinceNanos;
  }

  /** Returns whether bytes may be decoded: a peer has nothing to send without a request. */
  private boolean onBytes(int bytes) {
    allowance.onRead(bytes);
    if (listener == null) {
      onSurplus.accept(this, SurplusMoment.WHILE_IDLE);
      return false;
    }
    return isWithinAllowance();
  }

  private boolean isWithinAllowance() {
    if (!allowance.isExceeded()) {
      return true;
    }
    fail("more bytes than a response takes");
    return false;
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
    allowance.onPiece();
    if (listener == null) {
      channel.close();
      return;
    }
    if (!isWithinAllowance()) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      onSurplus.accept(this, SurplusMoment.MALFORMED_RESPONSE);
      fail("malformed response: " + message.decoderResult().cause().getMessage());
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
    if (!ResponseHead.isSingle(head)) {
      onSurplus.accept(this, SurplusMoment.BEFORE_RESPONSE);
      fail("the head of the response holds another one");
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skippingResponse = true;
      return;
    }
    lastHeaders = head.headers();
    framing = ResponseFraming.of(head);
    if (!framing.isExplicit()) {
      // The end of the bytes must not close the connection before it is known to be no reset.
      channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }
    reusable =
        framing.isExplicit() && HttpUtil.isKeepAlive(head) && !carriesHead && !carried.isFull();
    skippingResponse = !listener.onHead(head);
    outOfSync |= skippingResponse;
  }

  private void onContent(HttpContent content) {
    if (reset) {
      return;
    }
    if (!skippingResponse && content.content().isReadable()) {
      allowance.onUseful(content.content().readableBytes());
      onPiece(content.content());
    }
    if (content instanceof LastHttpContent) {
      passOnGathered();
      if (listener != null) {
        onResponseEnd();
      }
    }
  }

  private void onPiece(ByteBuf piece) {
    if (piece.readableBytes() >= LONG_PIECE_BYTES) {
      passOnGathered();
      passOn(piece);
      return;
    }
    if (gathered == null) {
      gathered = channel.alloc().buffer(LONG_PIECE_BYTES);
    }
    gathered.writeBytes(piece);
    if (gathered.readableBytes() >= PART_BYTES) {
      passOnGathered();
    }
  }

  /** Passes on the short pieces so far; they are dropped if nobody receives them any more. */
  private void passOnGathered() {
    ByteBuf pieces = gathered;
    gathered = null;
    if (pieces != null) {
      passOn(pieces);
      pieces.release();
    }
  }

  private void passOn(ByteBuf content) {
    if (listener == null) {
      return;
    }
    if (!lastRequestId.isEmpty() && joinedBody.isJoinedBy(content)) {
      failJoined();
    } else {
      listener.onContent(content);
    }
  }

  private void failJoined() {
    onSurplus.accept(this, SurplusMoment.INSIDE_RESPONSE);
    fail("the body of the response holds another one");
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    passOnGathered();
    context.fireChannelReadComplete();
  }

  private void onResponseEnd() {
    if (skippingResponse) {
      return;
    }
    boolean followed = decoder.hasSurplus() || !framing.isExplicit();
    if (followed && joinedBody.endsInsideHead()) {
      failJoined();
      return;
    }
    if (framing.isExplicit()) {
      complete();
    } else {
      confirmEnd(longRequest ? RESET_WAIT_MILLIS : 0);
    }
  }

  /**
   * Completes a response that ends with its connection, unless the peer did not read the request: a
   * peer that closes its connection unread resets it, which may follow the end of the bytes.
   *
   * @param waitMillis how long a reset may follow
   */
  private void confirmEnd(long waitMillis) {
    if (listener == null) {
      return;
    }
    if (!written) {
      fail("the response ended before the request was written");
    } else if (isReset()) {
      fail("reset after the response");
    } else if (waitMillis > 0) {
      confirmingEnd = true;
      var unused =
          channel.eventLoop().schedule(() -> confirmEnd(0), waitMillis, TimeUnit.MILLISECONDS);
    } else {
      complete();
    }
  }

  private boolean isReset() {
    return channel.isOpen() && channel instanceof ResetAwareChannel socket && socket.isReset();
  }

  private void complete() {
    ResponseListener receiver = listener;
    listener = null;
    if (decoder.hasSurplus()) {
      outOfSync = true;
      onSurplus.accept(this, SurplusMoment.AFTER_RESPONSE);
    }
    if (reusable && written && !outOfSync) {
      channel.config().setAutoRead(true);
      receiver.onEnd();
      channel.eventLoop().execute(this::offerIdle);
    } else {
      channel.close();
      receiver.onEnd();
    }
  }

  /**
   * Offers the connection for reuse. Runs after all bytes that were read together with the
   * response, because surplus bytes close the connection.
   */
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

  /** Closes the connection at the end of the bytes, which the decoder has seen before. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent && !confirmingEnd) {
      fail("closed");
    }
    context.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail(reset ? "reset" : "closed");
  }

  private void fail(String reason) {
    passOnGathered();
    ResponseListener receiver = listener;
    listener = null;
    channel.close();
    if (receiver != null) {
      receiver.onFailure(reason);
    }
  }
}

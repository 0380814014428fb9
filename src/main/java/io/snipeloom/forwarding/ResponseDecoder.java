package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Decodes the responses on one connection. A response that breaks the {@link ResponseGrammar} is
 * malformed from there on. Bytes that follow the end of a response are noticed, also if they are
 * less than a message. Confined to the event loop thread.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEADER_BYTES = 65_536;

  private final ResponseGrammar grammar = new ResponseGrammar();
  private HttpMethod method = HttpMethod.GET;
  private long decodedBytes;
  private boolean malformed;
  private boolean surplus;

  ResponseDecoder() {
    super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
  }

  /**
   * Sets the method of the request whose response comes next, which decides whether it has a body.
   */
  void expectResponseTo(HttpMethod requestMethod) {
    method = requestMethod;
    grammar.expectResponseTo(requestMethod);
  }

  /** Returns whether bytes that belong to no response followed the last message. */
  boolean hasSurplus() {
    return surplus;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    grammar.check((ByteBuf) message);
    super.channelRead(context, message);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
      throws Exception {
    if (malformed) {
      bytes.skipBytes(bytes.readableBytes());
      return;
    }
    int before = bytes.readableBytes();
    int passedOn = messages.size();
    super.decode(context, bytes, messages);
    decodedBytes += before - bytes.readableBytes();
    if (grammar.problem().isPresent() && decodedBytes > grammar.checkedBytes()) {
      dropFrom(passedOn, messages);
      messages.add(malformedResponse(grammar.problem().get()));
      malformed = true;
    } else if (!messages.isEmpty()
        && messages.get(messages.size() - 1) instanceof LastHttpContent) {
      surplus = bytes.isReadable();
    }
  }

  private static void dropFrom(int index, List<Object> messages) {
    while (messages.size() > index) {
      ReferenceCountUtil.release(messages.remove(messages.size() - 1));
    }
  }

  private static HttpResponse malformedResponse(String problem) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
    response.setDecoderResult(DecoderResult.failure(new DecoderException(problem)));
    return response;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean isInterim =
        ((HttpResponse) message).status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (!isInterim && method.equals(HttpMethod.HEAD)) {
      return true;
    }
    return super.isContentAlwaysEmpty(message);
  }
}

package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the responses on one connection and notices bytes that follow the end of one, also if
 * they are less than a message. Confined to the event loop thread.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEADER_BYTES = 65_536;

  private HttpMethod method = HttpMethod.GET;
  private boolean surplus;

  ResponseDecoder() {
    super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
  }

  /**
   * Sets the method of the request whose response comes next, which decides whether it has a body.
   */
  void expectResponseTo(HttpMethod requestMethod) {
    method = requestMethod;
  }

  /** Returns whether bytes that belong to no response followed the last message. */
  boolean hasSurplus() {
    return surplus;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
      throws Exception {
    super.decode(context, bytes, messages);
    if (!messages.isEmpty() && messages.get(messages.size() - 1) instanceof LastHttpContent) {
      surplus = bytes.isReadable();
    }
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

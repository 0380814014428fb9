package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClientConnectionTest {
  private static final String CHUNKED_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String UNFRAMED_RESPONSE = "HTTP/1.1 200 OK\r\n\r\nfirst part";

  private final PendingWrites writes = new PendingWrites();
  private final RecordingListener listener = new RecordingListener();
  private final ClientConnection connection =
      new ClientConnection(() -> {}, (connection, moment) -> {});
  private final EmbeddedChannel channel =
      new EmbeddedChannel(writes, new HttpClientCodec(), connection);

  /** Guards against a response that counts as complete because this side closed the connection. */
  @Test
  void unframedResponseIsIncompleteIfTheRequestCannotBeWritten() {
    send();
    receive(UNFRAMED_RESPONSE);
    writes.fail(channel);
    assertThat(listener.outcome, is("failed"));
  }

  @Test
  void unframedResponseIsCompleteOnceThePeerCloses() {
    send();
    writes.succeed();
    receive(UNFRAMED_RESPONSE);
    channel.close().syncUninterruptibly();
    assertThat(listener.outcome, is("ended"));
  }

  /** Guards against an answer in pieces of a few bytes, each of which is written by itself. */
  @Test
  void piecesThatWereReadTogetherArePassedOnTogether() {
    send();
    writes.succeed();
    receive(CHUNKED_HEAD + "3\r\nabc\r\n".repeat(8_192));
    assertThat(listener.parts, is(List.of("abc".repeat(8_192))));
    receive("1\r\ny\r\n2\r\nzz\r\n0\r\n\r\n");
    assertThat(listener.parts, is(List.of("abc".repeat(8_192), "yzz")));
    assertThat(listener.outcome, is("ended"));
  }

  @Test
  void piecesBeforeFailureArePassedOn() {
    send();
    writes.succeed();
    receive(CHUNKED_HEAD + "1\r\nx\r\nno length\r\n");
    assertThat(listener.parts, is(List.of("x")));
    assertThat(listener.outcome, is("failed"));
  }

  private void send() {
    connection.send(
        HttpMethod.POST,
        "/",
        new DefaultHttpHeaders(),
        Unpooled.copiedBuffer("body", StandardCharsets.UTF_8),
        listener);
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  /** Holds back the outcome of each write, as a socket does whose peer does not read. */
  private static final class PendingWrites extends ChannelOutboundHandlerAdapter {
    private ChannelPromise last;

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      last = promise;
    }

    void succeed() {
      last.setSuccess();
    }

    /** Fails the last write and closes the channel, as the transport does after a failed write. */
    void fail(EmbeddedChannel channel) {
      last.setFailure(new IOException("Broken pipe"));
      channel.close().syncUninterruptibly();
    }
  }

  private static final class RecordingListener implements ResponseListener {
    private final List<String> parts = new ArrayList<>();
    private String outcome = "pending";

    @Override
    public boolean onHead(HttpResponse head) {
      return true;
    }

    @Override
    public void onContent(ByteBuf content) {
      parts.add(content.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void onEnd() {
      outcome = "ended";
    }

    @Override
    public void onFailure(String reason) {
      outcome = "failed";
    }
  }
}

package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A peer responds to one request a second time, and that response is cut after each of its bytes.
 */
class CutResponseTest {
  private static final String FIRST =
      "HTTP/1.1 200 OK\r\nServer: app\r\nX-Id: a1\r\nContent-Length: 4\r\n\r\ngood";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nX-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n";
  private static final String SECOND =
      "HTTP/1.1 500 Failed\r\nX-Id: a2\r\nContent-Length: 3\r\n\r\nbad";

  private final List<SurplusMoment> surplus = new ArrayList<>();
  private final List<String> idle = new ArrayList<>();
  private final ClientConnection connection =
      new ClientConnection(() -> idle.add("idle"), (self, moment) -> surplus.add(moment));
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          connection.reader(), connection.decoder(), new HttpRequestEncoder(), connection);

  /** Guards against a failure that takes the status of the cut response before it. */
  @ParameterizedTest
  @ValueSource(strings = {FIRST, CHUNKED})
  void responseAfterTheCutOneKeepsItsStatus(String first) {
    for (int cut = 1; cut <= first.length(); cut++) {
      CutResponseTest play = new CutResponseTest();
      play.send("a1");
      play.receive(first);
      Recorder second = play.send("a2");
      play.receive(first.substring(0, cut));
      play.receive(SECOND);
      assertThat("cut after " + first.substring(0, cut), second.status, not(is(200)));
    }
  }

  /** Guards against the reuse of a connection on which a part of a response waits unnoticed. */
  @Test
  void connectionIsNotReusedOnceAnyByteFollowedTheResponse() {
    for (int cut = 1; cut <= FIRST.length(); cut++) {
      CutResponseTest play = new CutResponseTest();
      play.send("a1");
      play.receive(FIRST + FIRST.substring(0, cut));
      play.channel.runPendingTasks();
      assertThat("cut after " + cut, play.idle, empty());
      assertThat("cut after " + cut, play.surplus, is(List.of(SurplusMoment.AFTER_RESPONSE)));
    }
  }

  @Test
  void connectionIsReusedAfterResponseBehindInterimOne() {
    send("a1");
    receive("HTTP/1.1 100 Continue\r\n\r\n" + FIRST);
    channel.runPendingTasks();
    assertThat(idle, is(List.of("idle")));
    assertThat(surplus, empty());
  }

  /** Guards against an unbounded list of the requests that a connection has carried. */
  @Test
  void connectionIsNotReusedOnceItHasCarriedItsMostRequests() {
    for (int i = 0; i < CarriedRequests.MAX_REQUESTS; i++) {
      send("a" + i);
      receive(FIRST.replace("a1", "a" + i));
      channel.runPendingTasks();
    }
    assertThat(idle.size(), is(CarriedRequests.MAX_REQUESTS - 1));
    assertThat(channel.isActive(), is(false));
  }

  private Recorder send(String id) {
    Recorder recorder = new Recorder(id);
    connection.send(
        HttpMethod.POST, "/", new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, recorder);
    return recorder;
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  /** Records the status of the response that names its request, and skips others. */
  private static final class Recorder implements ResponseListener {
    private final String id;
    private int status;

    Recorder(String id) {
      this.id = id;
    }

    @Override
    public String requestId() {
      return id;
    }

    @Override
    public boolean onHead(HttpResponse head) {
      boolean own = id.equals(head.headers().get("X-Id"));
      status = own ? head.status().code() : status;
      return own;
    }

    @Override
    public void onContent(ByteBuf content) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(String reason) {}
  }
}

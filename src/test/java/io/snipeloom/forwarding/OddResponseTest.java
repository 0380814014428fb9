package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A late response of an odd form is cut after each byte, before the response that is awaited. */
@SuppressWarnings("StringConcatToTextBlock")
class OddResponseTest {
  private final List<String> idle = new ArrayList<>();
  private final ClientConnection connection =
      new ClientConnection(() -> idle.add("idle"), (self, moment) -> {});
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          connection.reader(), connection.decoder(), new HttpRequestEncoder(), connection);

  private enum Own {
    PLAIN("HTTP/1.1 500 Failed\r\nX-Id: a2\r\nContent-Length: 3\r\n\r\nbad"),
    NO_BODY("HTTP/1.1 500 Failed\r\nX-Id: a2\r\nContent-Length: 0\r\n\r\n"),
    CHUNKED(
        "HTTP/1.1 500 Failed\r\nX-Id: a2\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "3\r\nbad\r\n0\r\n\r\n"),
    NO_REASON("HTTP/1.1 500\r\nX-Id: a2\r\nContent-Length: 3\r\n\r\nbad"),
    TWO_SPACES("HTTP/1.1  500 Failed\r\nX-Id: a2\r\nContent-Length: 3\r\n\r\nbad"),
    TAB("HTTP/1.1\t500 Failed\r\nX-Id: a2\r\nContent-Length: 3\r\n\r\nbad"),
    LOWER_CASE("http/1.1 500 Failed\r\nX-Id: a2\r\nContent-Length: 3\r\n\r\nbad"),
    LEADING_LINE("\r\nHTTP/1.1 500 Failed\r\nX-Id: a2\r\nContent-Length: 3\r\n\r\nbad"),
    LEADING_SPACE(" HTTP/1.1 500 Failed\r\nX-Id: a2\r\nContent-Length: 3\r\n\r\nbad"),
    LINE_FEEDS("HTTP/1.1 500 Failed\nX-Id: a2\nContent-Length: 3\n\nbad"),
    INTERIM(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 Failed\r\nX-Id: a2\r\n"
            + "Content-Length: 3\r\n\r\nbad");

    private final String text;

    Own(String text) {
      this.text = text;
    }
  }

  private static final Map<String, String> COPIES = new LinkedHashMap<>();

  static {
    String ok = "HTTP/1.1 200 OK\r\n";
    COPIES.put(
        "folded", ok + "X-Id: a1\r\nServer: a\r\n b\r\n\tc\r\nContent-Length: 4\r\n\r\ngood");
    COPIES.put("bare cr", ok + "X-Id: a1\r\nServer: a\rb\r\nContent-Length: 4\r\n\r\ngood");
    COPIES.put("lf", "HTTP/1.1 200 OK\nX-Id: a1\nServer: a\nContent-Length: 4\n\ngood");
    COPIES.put(
        "two lengths", ok + "X-Id: a1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ngood");
    COPIES.put(
        "length and chunked",
        ok
            + "X-Id: a1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n"
            + "\r\n4\r\ngood\r\n0\r\n\r\n");
    COPIES.put(
        "trailers",
        ok
            + "X-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\ngood\r\n"
            + "0\r\nX-Sum: 1\r\n z\r\n\r\n");
    COPIES.put("interim", "HTTP/1.1 100 Continue\r\n\r\n");
    COPIES.put(
        "early hints",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
            + ok
            + "X-Id: a1\r\nContent-Length: 4\r\n\r\ngood");
    COPIES.put("switching", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nX-Id: a1\r\n\r\n");
    COPIES.put("no content", "HTTP/1.1 204 No Content\r\nX-Id: a1\r\n\r\n");
    COPIES.put(
        "no content with body",
        "HTTP/1.1 204 No Content\r\nX-Id: a1\r\nContent-Length: 4\r\n\r\ngood");
    COPIES.put(
        "not modified", "HTTP/1.1 304 Not Modified\r\nX-Id: a1\r\nContent-Length: 4\r\n\r\n");
    COPIES.put("old version", "HTTP/1.0 200 OK\r\nX-Id: a1\r\n\r\ngood");
    COPIES.put(
        "space before colon", ok + "X-Id : a1\r\nServer : a\r\nContent-Length : 4\r\n\r\ngood");
    COPIES.put("id last", ok + "Content-Length: 4\r\nServer: a\r\nX-Id: a1\r\n\r\ngood");
    COPIES.put("long body", ok + "X-Id: a1\r\nContent-Length: 1000\r\n\r\n" + "good".repeat(20));
    COPIES.put("no id", ok + "Content-Length: 4\r\n\r\ngood");
    COPIES.put("garbage", "x7\r\n\u0000\u0001 HTTP/1.1 abc: def\r\n\r\n 200 OK\n4\r\n");
  }

  /** Guards against a response that takes its status or body from an odd one before it. */
  @ParameterizedTest
  @EnumSource(value = Own.class, mode = EnumSource.Mode.EXCLUDE, names = "LEADING_SPACE")
  void responseBehindOddCutOneIsItsOwn(Own own) {
    List<String> mixed = new ArrayList<>();
    for (Map.Entry<String, String> copy : COPIES.entrySet()) {
      for (int cut = 0; cut <= copy.getValue().length(); cut++) {
        for (int step : new int[] {1, 100_000}) {
          OddResponseTest play = new OddResponseTest();
          play.send("a1");
          play.receive("HTTP/1.1 200 OK\r\nX-Id: a1\r\nContent-Length: 4\r\n\r\ngood");
          play.channel.runPendingTasks();
          Recorder second = play.send("a2");
          String whole = copy.getValue().substring(0, cut) + own.text;
          for (int i = 0; i < whole.length(); i += step) {
            play.receive(whole.substring(i, Math.min(whole.length(), i + step)));
          }
          String body = own == Own.NO_BODY ? "" : "bad";
          boolean exact = second.status == 500 && second.body.toString().equals(body);
          if (second.ended && !exact) {
            mixed.add(copy.getKey() + " " + cut + " " + second.status + " " + second.body);
          }
        }
      }
    }
    assertThat(mixed, is(List.of()));
  }

  /** Guards against a status line that is read as the rest of the line before it. */
  @Test
  void responseWithLeadingSpaceBehindCutOneIsItsOwn() {
    responseBehindOddCutOneIsItsOwn(Own.LEADING_SPACE);
  }

  private Recorder send(String id) {
    Recorder recorder = new Recorder(id);
    connection.send(
        HttpMethod.POST, "/", new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, recorder);
    return recorder;
  }

  private void receive(String text) {
    if (channel.isActive()) {
      channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }
  }

  private static final class Recorder implements ResponseListener {
    private final String id;
    private final StringBuilder body = new StringBuilder();
    private int status;
    private boolean ended;

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
    public void onContent(ByteBuf content) {
      body.append(content.toString(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onEnd() {
      ended = true;
    }

    @Override
    public void onFailure(String reason) {}
  }
}

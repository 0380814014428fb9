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
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A peer sends a response and all or part of another on one connection, split at each byte: what is
 * received as complete is the status and the body of one response.
 */
class JoinedResponseTest {
  /** How much of a status line must be in a body for it to be seen there. */
  private static final int STATUS_LINE_BYTES = "HTTP/1.1 200".length();

  private static final String BODY =
      "a body that is a little longer than the head of a response,"
          + " so that there is room for all of another one in the rest of it,"
          + " whatever it says there.";

  private final List<String> idle = new ArrayList<>();
  private final ClientConnection connection =
      new ClientConnection(() -> idle.add("idle"), (self, moment) -> {});
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          connection.reader(), connection.decoder(), new HttpRequestEncoder(), connection);

  /** How the end of a response is marked. */
  private enum Framing {
    LENGTH("Content-Length: " + BODY.length() + "\r\n\r\n" + BODY),
    CHUNKED(
        "Transfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(BODY.length())
            + "\r\n"
            + BODY
            + "\r\n0\r\n\r\n"),
    TWO_CHUNKS(
        "Transfer-Encoding: chunked\r\n\r\n4\r\na bo\r\n"
            + Integer.toHexString(BODY.length() - 4)
            + "\r\n"
            + BODY.substring(4)
            + "\r\n0\r\nX-Sum: 1\r\n\r\n"),
    TO_THE_CLOSE("\r\n" + BODY);

    private final String rest;

    Framing(String rest) {
      this.rest = rest;
    }

    String response(String status, String id) {
      return "HTTP/1.1 " + status + "\r\nServer: app\r\nX-Id: " + id + "\r\n" + rest;
    }
  }

  /** Guards against a body that is joined from a response that breaks off and its repetition. */
  @ParameterizedTest
  @EnumSource(Framing.class)
  void bodyIsNotJoinedFromResponseThatBreaksOffAndItsRepetition(Framing framing) {
    String own = framing.response("200 OK", "a2");
    List<Integer> joined = new ArrayList<>();
    for (int cut = 1; cut < own.length(); cut++) {
      addIfJoined(joined, cut, own.substring(0, cut), own);
    }
    assertThat(framing + " cuts", joined, is(List.of()));
  }

  /** Guards against a body that holds a late response to an earlier request. */
  @ParameterizedTest
  @EnumSource(Framing.class)
  void bodyDoesNotHoldLateResponseToEarlierRequest(Framing framing) {
    String own = framing.response("200 OK", "a2");
    List<String> joined = new ArrayList<>();
    for (Framing of : Framing.values()) {
      List<Integer> cuts = new ArrayList<>();
      for (int cut = 1; cut <= own.length(); cut++) {
        String late = of.response("500 Failed", "a1");
        addIfJoined(cuts, cut, own.substring(0, cut), late, own.substring(cut));
      }
      if (!cuts.isEmpty()) {
        joined.add(of + " " + cuts.size() + " of " + own.length() + " " + cuts);
      }
    }
    assertThat(framing + " cuts", joined, is(List.of()));
  }

  /** Guards against a response that takes its status or body from a cut one before it. */
  @ParameterizedTest
  @EnumSource(Framing.class)
  void responseBehindCutOneIsItsOwn(Framing framing) {
    String own = framing.response("500 Failed", "a2");
    List<String> joined = new ArrayList<>();
    for (Framing of : Framing.values()) {
      String late = of.response("200 OK", "a1");
      List<Integer> cuts = new ArrayList<>();
      for (int cut = 1; cut < late.length(); cut++) {
        addIfJoined(cuts, cut, late.substring(0, cut), own);
      }
      if (!cuts.isEmpty()) {
        joined.add(of + " " + cuts);
      }
    }
    assertThat(framing + " cuts", joined, is(List.of()));
  }

  private static void addIfJoined(List<Integer> joined, int cut, String... pieces) {
    for (boolean bytewise : new boolean[] {false, true}) {
      JoinedResponseTest play = new JoinedResponseTest();
      Recorder first = play.send("a1");
      play.receive(Framing.LENGTH.response("200 OK", "a1"));
      play.channel.runPendingTasks();
      assertThat(first.ended && !play.idle.isEmpty(), is(true));
      Recorder second = play.send("a2");
      String whole = String.join("", pieces);
      int step = bytewise ? 1 : whole.length();
      for (int i = 0; i < whole.length(); i += step) {
        play.receive(whole.substring(i, Math.min(whole.length(), i + step)));
      }
      play.channel.close().syncUninterruptibly();
      String status = pieces[pieces.length - 1].contains("500 Failed") ? "500" : "200";
      boolean exact = second.body.toString().equals(BODY) && status.equals("" + second.status);
      boolean visible =
          !bytewise || second.body.length() - bodyBytes(pieces[0]) >= STATUS_LINE_BYTES;
      if (second.ended && !exact && visible) {
        joined.add(bytewise ? -cut : cut);
      }
    }
  }

  private static int bodyBytes(String response) {
    int head = response.indexOf("\r\n\r\n");
    return head < 0 ? 0 : response.length() - head - 4;
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

  /** Records the response that names its request, and skips others. */
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

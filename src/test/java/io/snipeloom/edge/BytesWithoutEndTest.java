package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that a replica that sends bytes without end in place of an answer keeps nobody else
 * waiting, that its own caller gets an answer in time, and that the connection is closed.
 */
@Timeout(60)
class BytesWithoutEndTest {
  private static final String PROMPT_HEADERS =
      "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n";

  /** The time of the routes, and the slack that the platform's rule allows, in milliseconds. */
  private static final long ANSWER_MILLIS = 3_000 + 500;

  /** What the event loop may take from another request, in milliseconds. */
  private static final long OTHERS_MILLIS = 500;

  /** A body of the longest size, and what the sockets buffer. */
  private static final long MOST_BYTES = 24_000_000;

  private static final long GIVE_UP_NANOS = 20_000_000_000L;

  private final CompletableFuture<Long> sentBytes = new CompletableFuture<>();
  private EdgeFixture edge;

  /** What a replica sends: once, and then again and again. */
  private enum Shape {
    FOREIGN_CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    FOREIGN_LONG_CHUNKS(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"),
    FOREIGN_BODY("HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"),
    FOREIGN_RESPONSES("", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    INTERIM_RESPONSES("", "HTTP/1.1 102 Processing\r\n\r\n"),
    EMPTY_LINES("", "\r\n"),
    EMPTY_LINES_AFTER_INTERIM_RESPONSE("HTTP/1.1 102 Processing\r\n\r\n", "\r\n"),
    OWN_CHUNKS(ownHead("Transfer-Encoding: chunked\r\n"), "1\r\nx\r\n"),
    OWN_CHUNK_EXTENSIONS(ownHead("Transfer-Encoding: chunked\r\n"), "1;a=b\r\nx\r\n"),
    OWN_TRAILERS(ownHead("Transfer-Encoding: chunked\r\n") + "0\r\n", "a: b\r\n"),
    OWN_BODY(ownHead(""), "0123456789abcdef"),
    SECOND_RESPONSES(ownHead("Content-Length: 0\r\n"), ownHead("Content-Length: 0\r\n")),
    COMMENTS(ownHead("Content-Type: text/event-stream\r\n"), ":\n\n"),
    EMPTY_EVENTS(ownHead("Content-Type: text/event-stream\r\n"), "\n"),
    CHUNKED_COMMENTS(
        ownHead("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"),
        "3\r\n:\n\n\r\n"),
    LINES_OF_ONE_EVENT(ownHead("Content-Type: text/event-stream\r\n"), "a\n");

    private final String begin;
    private final String piece;

    Shape(String begin, String piece) {
      this.begin = begin;
      this.piece = piece;
    }

    /** Returns the bytes that are sent without end. */
    byte[] block() {
      return piece.repeat(65_536 / piece.length()).getBytes(StandardCharsets.US_ASCII);
    }

    private static String ownHead(String headers) {
      return "HTTP/1.1 200 OK\r\nSnipeloom-Attempt-Id: sick\r\nSnipeloom-Replica-Signature: s\r\n"
          + headers
          + "\r\n";
    }

    boolean isStream() {
      return begin.contains("event-stream");
    }
  }

  @BeforeEach
  void startInstance() throws IOException {
    edge = new EdgeFixture();
  }

  @AfterEach
  void stopInstance() {
    edge.close();
  }

  /** Guards against one endless answer that holds the event loop until its replica ends. */
  @ParameterizedTest
  @EnumSource(Shape.class)
  void othersAreServedAndTheConnectionIsClosed(Shape shape) throws Exception {
    FakeReplica sick = FakeReplica.start((request, socket) -> flood(socket, shape));
    FakeReplica sound = FakeReplica.start(BytesWithoutEndTest::serve);
    edge.register("sick", shape.isStream() ? "llm" : "app", sick, "ready");
    edge.register("sound", shape.isStream() ? "app" : "llm", sound, "ready");
    edge.configure(1, 1_000_000);
    edge.awaitReady();
    edge.awaitTokens();
    final String sickPath = shape.isStream() ? "/draft/1" : "/vote/1";
    final String otherPath = shape.isStream() ? "/vote/1" : "/draft/1";
    assertThat(edge.send(otherPath, "first", PROMPT_HEADERS), startsWith("HTTP/1.1 200"));

    long startNanos = System.nanoTime();
    CompletableFuture<String> sickAnswer =
        CompletableFuture.supplyAsync(() -> send(sickPath, "sick"));
    List<Long> othersMillis = new ArrayList<>();
    do {
      long sentNanos = System.nanoTime();
      assertThat(edge.send(otherPath, "other", PROMPT_HEADERS), startsWith("HTTP/1.1 200"));
      othersMillis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos));
    } while (!sickAnswer.isDone());
    final long answerMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);

    assertThat(sickAnswer.get(), startsWith("HTTP/1.1 "));
    assertThat(answerMillis, is(lessThan(ANSWER_MILLIS)));
    assertThat(othersMillis.size(), is(greaterThan(0)));
    long slowest = othersMillis.stream().mapToLong(Long::longValue).max().orElseThrow();
    assertThat("slowest of the others", slowest, is(lessThan(OTHERS_MILLIS)));
    assertThat("bytes sent", sentBytes.get(10, TimeUnit.SECONDS), lessThan(MOST_BYTES));
  }

  private String send(String path, String attempt) {
    try {
      return edge.send(path, attempt, PROMPT_HEADERS);
    } catch (IOException e) {
      return "no answer: " + e;
    }
  }

  private static boolean serve(FakeReplica.Request request, Socket socket) throws IOException {
    FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "ok"));
    return true;
  }

  private boolean flood(Socket socket, Shape shape) {
    byte[] block = shape.block();
    long sent = 0;
    long startNanos = System.nanoTime();
    try {
      OutputStream out = socket.getOutputStream();
      out.write(shape.begin.getBytes(StandardCharsets.US_ASCII));
      while (System.nanoTime() - startNanos < GIVE_UP_NANOS) {
        out.write(block);
        sent += block.length;
      }
    } catch (IOException e) {
      // The instance closed the connection, as it should.
      sentBytes.complete(sent);
      return false;
    }
    sentBytes.complete(sent);
    return false;
  }
}

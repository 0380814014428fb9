package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A replica begins its answer a second time, breaks off in the head, and answers the next request
 * on the same connection.
 */
@Timeout(60)
class CutCopyTest {
  private static final long READ_MILLIS = 50;

  private final Map<Socket, String> served = Collections.synchronizedMap(new IdentityHashMap<>());
  private EdgeFixture edge;

  /** Where the copy of the first answer is cut. */
  private enum Cut {
    AFTER_VERSION("HTTP/1.1 "),
    AFTER_STATUS("HTTP/1.1 200 "),
    IN_REASON("HTTP/1.1 200 O"),
    IN_HEADER_NAME("HTTP/1.1 200 OK\r\nServ"),
    IN_HEADER_VALUE("HTTP/1.1 200 OK\r\nServer: app"),
    AFTER_HEADER_LINE("HTTP/1.1 200 OK\r\nServer: app\r\n"),
    AFTER_STATUS_LINE("HTTP/1.1 200 OK\r\n"),
    IN_ID("HTTP/1.1 200 OK\r\nSnipeloom-Attempt-Id: a");

    private final String text;

    Cut(String text) {
      this.text = text;
    }
  }

  /** When the copy is written. */
  private enum Moment {
    WITH_ANSWER,
    WHILE_IDLE,
    BEFORE_NEXT_ANSWER
  }

  @BeforeEach
  void startInstance() throws IOException {
    edge = new EdgeFixture();
  }

  @AfterEach
  void stopInstance() {
    edge.close();
  }

  static Stream<Arguments> copies() {
    List<Arguments> copies = new ArrayList<>();
    for (String path : List.of("/vote/1", "/draft/1")) {
      for (Cut cut : Cut.values()) {
        for (Moment moment : Moment.values()) {
          copies.add(Arguments.of(path, cut, moment));
        }
      }
    }
    return copies.stream();
  }

  /** Guards against a head that is read from the remains of one answer and the head of another. */
  @ParameterizedTest
  @MethodSource("copies")
  void failureDoesNotTakeTheStatusOfTheAnswerBeforeIt(String path, Cut cut, Moment moment)
      throws Exception {
    edge.configureWithoutTotal(1);
    String service = path.startsWith("/vote") ? "app" : "llm";
    FakeReplica replica =
        FakeReplica.start((request, socket) -> answer(cut, moment, request, socket));
    edge.register("i-1", service, replica, "ready");
    edge.awaitReady();
    String prompt = "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n";
    edge.send(path, "a1", prompt);
    Thread.sleep(READ_MILLIS);
    String second = edge.send(path, "a2", prompt);
    assertThat(second + "\n" + edge.log, second, not(startsWith("HTTP/1.1 200")));
  }

  private boolean answer(Cut cut, Moment moment, FakeReplica.Request request, Socket socket)
      throws IOException, InterruptedException {
    boolean first = request.attempt().equals("a1");
    if (first) {
      String whole = FakeReplica.completeResponse("a1", 200, "id: 1\ndata: x\n\n");
      FakeReplica.write(socket, moment == Moment.WITH_ANSWER ? whole + cut.text : whole);
      if (moment == Moment.WHILE_IDLE) {
        Thread.sleep(READ_MILLIS / 2);
        FakeReplica.write(socket, cut.text);
      }
      served.put(socket, "");
      return true;
    }
    if (served.containsKey(socket) && moment == Moment.BEFORE_NEXT_ANSWER) {
      FakeReplica.write(socket, cut.text);
      Thread.sleep(READ_MILLIS);
    }
    FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 500, "failed"));
    return true;
  }
}

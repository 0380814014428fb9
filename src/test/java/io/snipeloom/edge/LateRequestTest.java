package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests that come while an instance shuts down, with sound replicas, in calm. */
@Timeout(60)
class LateRequestTest {
  private static final String NOT_EXECUTED = "Snipeloom-Not-Executed";
  private static final int KEPT_CONNECTIONS = 12;
  private static final int NEW_CONNECTIONS = 25;
  private static final long PAUSE_MILLIS = 100;

  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final Map<String, String> answers = new ConcurrentHashMap<>();
  private EdgeFixture edge;
  private FakeReplica replica;
  private volatile long workMillis;

  @BeforeEach
  void startInstance() throws Exception {
    edge = new EdgeFixture();
    replica = FakeReplica.start(this::serve);
    edge.register("i-1", "app", replica, "ready");
    edge.register("e-1", "llm", replica, "ready");
    edge.configure(1, 1_000_000);
    edge.awaitReady();
    edge.awaitTokens();
  }

  @AfterEach
  void stopInstance() throws IOException {
    callers.shutdownNow();
    edge.close();
    replica.close();
  }

  /** Guards against votes that come late in the grace, run, and are cut without an answer. */
  @ParameterizedTest
  @ValueSource(longs = {10, 700, 2_900})
  void voteThatRunsIsAnsweredAndOneThatIsRefusedDoesNotRun(long millis) throws Exception {
    List<Socket> kept = openKept();
    workMillis = millis;
    callers.execute(this::stopLikeProcess);
    for (int i = 0; i < NEW_CONNECTIONS; i++) {
      sendVote("new-" + i);
      if (i % 2 == 0 && i / 2 < KEPT_CONNECTIONS) {
        sendVoteOn(kept.get(i / 2), "kept-" + i);
      }
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    }
    callers.shutdown();
    assertThat(callers.awaitTermination(20, TimeUnit.SECONDS), is(true));
    List<String> ran =
        replica.requests().stream()
            .map(FakeReplica.Request::attempt)
            .filter(attempt -> !attempt.startsWith("first-"))
            .collect(Collectors.toList());
    List<String> answersOfRun = ran.stream().map(answers::get).toList();
    assertThat("answers of votes that ran", answersOfRun, everyItem(startsWith("HTTP/1.1 200")));
    long refused = answers.values().stream().filter(text -> text.contains(NOT_EXECUTED)).count();
    assertThat(ran.size() + refused, is(greaterThan((long) NEW_CONNECTIONS / 2)));
  }

  /** Guards against a request that is cut at the end although nothing of its answer was sent. */
  @Test
  void requestThatIsOpenAtTheEndGetsCodedAnswer() throws Exception {
    edge.configureWithoutTotal(2);
    edge.awaitLog("event=configuration version=2");
    workMillis = 20_000;
    Socket caller = edge.open();
    String vote = EdgeFixture.request("/vote/1", "vote", "", true);
    write(caller, vote.replace("Deadline-Ms: 3000", "Deadline-Ms: 15000"));
    edge.awaitLog("event=sent id=vote");
    callers.execute(this::stopLikeProcess);
    String answer = EdgeFixture.readAll(caller.getInputStream());
    assertThat(answer, startsWith("HTTP/1.1 50"));
    assertThat(answer, containsString("\"code\":"));
    edge.awaitLog("event=last_answers");
  }

  /** Guards against an end that comes after the kill, as the event loop was late. */
  @Test
  void requestThatIsOpenAtTheEndGetsCodedAnswerAlthoughTheEventLoopWasLate() throws Exception {
    edge.configureWithoutTotal(2);
    edge.awaitLog("event=configuration version=2");
    workMillis = 20_000;
    Socket caller = edge.open();
    String vote = EdgeFixture.request("/vote/1", "vote", "", true);
    write(caller, vote.replace("Deadline-Ms: 3000", "Deadline-Ms: 15000"));
    edge.awaitLog("event=sent id=vote");
    edge.blockLoop(1_000);
    callers.execute(this::stopLikeProcess);
    String answer = EdgeFixture.readAll(caller.getInputStream());
    assertThat(answer, startsWith("HTTP/1.1 50"));
    edge.awaitLog("event=last_answers");
  }

  private void stopLikeProcess() {
    edge.stop();
    edge.halt();
  }

  private List<Socket> openKept() throws IOException {
    List<Socket> kept = new ArrayList<>();
    for (int i = 0; i < KEPT_CONNECTIONS; i++) {
      Socket socket = edge.open();
      write(socket, EdgeFixture.request("/vote/1", "first-" + i, "", false));
      byte[] buffer = new byte[4_096];
      String text = "";
      while (!text.endsWith("done")) {
        int count = socket.getInputStream().read(buffer);
        text += new String(buffer, 0, count, StandardCharsets.ISO_8859_1);
      }
      kept.add(socket);
    }
    return kept;
  }

  private void sendVote(String attempt) {
    callers.execute(
        () -> {
          try {
            answers.put(attempt, edge.send("/vote/1", attempt, ""));
          } catch (IOException e) {
            answers.put(attempt, "not connected");
          }
        });
  }

  private void sendVoteOn(Socket socket, String attempt) {
    callers.execute(
        () -> {
          try (socket) {
            write(socket, EdgeFixture.request("/vote/1", attempt, "", true));
            answers.put(attempt, EdgeFixture.readAll(socket.getInputStream()));
          } catch (IOException e) {
            answers.put(attempt, "closed");
          }
        });
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private boolean serve(FakeReplica.Request request, Socket socket)
      throws IOException, InterruptedException {
    TimeUnit.MILLISECONDS.sleep(workMillis);
    FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "done"));
    return true;
  }
}

package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;

import io.snipeloom.edge.DepartedCallers.Leaving;
import io.snipeloom.platform.FakeReplica;
import io.snipeloom.transport.BusyReading;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Keeps the event loop of an instance busy while callers and replicas send. */
@Timeout(60)
class BlockedLoopTest {
  private static final long BLOCKED_MILLIS = 1_200;

  private EdgeFixture edge;
  private BusyReading reading;

  @BeforeEach
  void startInstance() throws IOException {
    edge = new EdgeFixture();
    reading = edge.busyReading();
  }

  @AfterEach
  void stopInstance() {
    reading.close();
    edge.close();
  }

  /** Guards against dropping a caller that stays, whose next request follows on its connection. */
  @Test
  void pipelinedRequestsOfCallersThatStayAreServedAfterTheLoopWasBlocked() throws Exception {
    try (DepartedCallers departed = new DepartedCallers(Leaving.CLOSE);
        FakeReplica replica = FakeReplica.start(departed::respond);
        Socket caller = openAfterStart(replica)) {
      edge.blockLoop(BLOCKED_MILLIS);
      for (int i = 0; i < 5; i++) {
        FakeReplica.write(caller, EdgeFixture.request("/status/" + i, "p" + i, "", i == 4));
      }
      String responses = EdgeFixture.readAll(caller.getInputStream());
      String[] parts = responses.split("HTTP/1.1 200", -1);
      assertThat(List.of(parts), hasSize(6));
      assertThat(List.of(parts).subList(1, 6), everyItem(endsWith("read")));
    }
  }

  /** Guards against sending a request once more although its answer has arrived. */
  @Test
  void requestWhoseAnswerLiesUnreadIsNotSentAgain() throws Exception {
    try (FakeReplica replica = answerWhileReadingIsBusy()) {
      start("app", replica);
      assertThat(edge.send("/status/1", "a1", ""), endsWith("read"));
      assertThat(replica.requests(), hasSize(1));
    }
  }

  /** Guards against a timeout although the answer has arrived before the deadline. */
  @Test
  void answerThatLiesUnreadAtTheDeadlineReachesItsCaller() throws Exception {
    try (FakeReplica replica = answerWhileReadingIsBusy();
        Socket caller = openAfterStart(replica)) {
      String request =
          EdgeFixture.request("/vote/1", "a1", "", true)
              .replace("Deadline-Ms: 3000", "Deadline-Ms: " + BLOCKED_MILLIS / 2);
      FakeReplica.write(caller, request);
      assertThat(EdgeFixture.readAll(caller.getInputStream()), endsWith("read"));
    }
  }

  /** Returns a replica that answers as soon as the instance is busy reading something else. */
  private FakeReplica answerWhileReadingIsBusy() throws IOException {
    return FakeReplica.start(
        (request, socket) -> {
          reading.begin(BLOCKED_MILLIS);
          FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "read"));
          return true;
        });
  }

  private Socket openAfterStart(FakeReplica replica) throws IOException, InterruptedException {
    start("app", replica);
    return edge.open();
  }

  private void start(String service, FakeReplica replica) throws IOException, InterruptedException {
    edge.configureWithoutTotal(1);
    edge.register("i-1", service, replica, "ready");
    edge.awaitReady();
  }
}

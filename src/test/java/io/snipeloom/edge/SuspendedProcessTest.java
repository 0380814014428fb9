package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.edge.DepartedCallers.Leaving;
import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.FakeStore;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Suspends and resumes an instance that is a process of its own, while callers send requests and
 * some of them leave. The store and the replica are fakes in the process of the test.
 */
@Timeout(90)
class SuspendedProcessTest {
  /** How long callers wait that leave, as those of a quick request with little time left. */
  private static final long PATIENCE_MILLIS = 190;

  /** How long the process stays suspended after they have left. */
  private static final long SUSPENDED_MILLIS = 900;

  private static final long TURN_MILLIS = 5;
  private static final long PAUSE_MILLIS = 150;
  private static final int TURNS = 20;

  /** The callers of an instance that is not suspended. */
  private static final int CALLERS_OF_OTHER = 20;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path directory;

  /**
   * Guards against sending requests that lay unread, with the close of their caller behind them.
   */
  @ParameterizedTest
  @CsvSource({"40, CLOSE", "400, CLOSE", "200, RESET"})
  void requestsOfCallersThatLeftWhileProcessWasSuspendedAreNotSent(int callers, Leaving leaving)
      throws Exception {
    try (DepartedCallers departed = new DepartedCallers(leaving);
        FakeReplica replica = FakeReplica.start(departed::respond);
        EdgeProcess edge = start(replica)) {
      edge.suspend();
      departed.open(callers, edge::open);
      sendAndLeave(departed);
      Thread.sleep(SUSPENDED_MILLIS);
      edge.resume();
      assertOnlyStayingCallersAreServed(departed);
    }
  }

  /** Guards against the same on connections that were accepted before. */
  @Test
  void requestsOnOpenConnectionsOfCallersThatLeftAreNotSent() throws Exception {
    try (DepartedCallers departed = new DepartedCallers(Leaving.CLOSE);
        FakeReplica replica = FakeReplica.start(departed::respond);
        EdgeProcess edge = start(replica)) {
      departed.open(200, edge::open);
      Thread.sleep(SUSPENDED_MILLIS);
      edge.suspend();
      sendAndLeave(departed);
      Thread.sleep(SUSPENDED_MILLIS);
      edge.resume();
      assertOnlyStayingCallersAreServed(departed);
    }
  }

  /** Guards against the same where the process runs for moments between its pauses. */
  @Test
  void requestsOfCallersThatLeftAreNotSentByProcessThatRunsForMoments() throws Exception {
    try (DepartedCallers departed = new DepartedCallers(Leaving.CLOSE);
        FakeReplica replica = FakeReplica.start(departed::respond);
        EdgeProcess edge = start(replica)) {
      edge.suspend();
      departed.open(200, edge::open);
      sendAndLeave(departed);
      for (int turn = 0; turn < TURNS; turn++) {
        Thread.sleep(PAUSE_MILLIS);
        edge.resume();
        Thread.sleep(TURN_MILLIS);
        edge.suspend();
      }
      edge.resume();
      assertOnlyDepartedCallersAreLeftOut(departed);
    }
  }

  /** Guards against an instance that is held up, or sends on late, for the pause of another. */
  @Test
  void otherInstanceServesWhileOneIsSuspendedAndNoRequestOfDepartedCallersIsSent()
      throws Exception {
    FakeStore store = FakeStore.start();
    try (DepartedCallers departed = new DepartedCallers(Leaving.CLOSE);
        FakeReplica replica = FakeReplica.start(departed::respond);
        EdgeProcess suspended = start(store, replica);
        EdgeFixture other = new EdgeFixture("edge-2", store)) {
      other.awaitReady();
      other.awaitLog("event=fleet_size before=4 now=2");
      suspended.suspend();
      departed.open(200, suspended::open);
      sendAndLeave(departed);
      for (int i = 0; i < CALLERS_OF_OTHER; i++) {
        assertThat(other.send("/status/other", "other" + i, ""), startsWith("HTTP/1.1 200"));
      }
      Thread.sleep(SUSPENDED_MILLIS);
      suspended.resume();
      assertOnlyStayingCallersAreServed(departed);
    }
  }

  private static void sendAndLeave(DepartedCallers departed)
      throws IOException, InterruptedException {
    departed.sendAll("/status/", "");
    Thread.sleep(PATIENCE_MILLIS);
    departed.leave();
  }

  private static void assertOnlyStayingCallersAreServed(DepartedCallers departed)
      throws IOException {
    assertThat(departed.awaitResponses(), everyItem(startsWith("HTTP/1.1 200")));
    assertThat(departed.sentOnTooLate(), empty());
  }

  /** Those that stay may be answered late, so that only the others are looked at. */
  private static void assertOnlyDepartedCallersAreLeftOut(DepartedCallers departed)
      throws IOException {
    assertThat(departed.awaitResponses(), everyItem(startsWith("HTTP/1.1 ")));
    assertThat(departed.sentOnTooLate(), empty());
  }

  private EdgeProcess start(FakeReplica replica) throws IOException {
    return start(FakeStore.start(), replica);
  }

  private EdgeProcess start(FakeStore store, FakeReplica replica) throws IOException {
    EdgeFixture.configure(store, 1, 1_000_000);
    EdgeFixture.register(store, "i-1", "app", replica, "ready", "v1");
    EdgeProcess edge = new EdgeProcess(directory, store);
    edge.awaitReady("i-1");
    return edge;
  }
}

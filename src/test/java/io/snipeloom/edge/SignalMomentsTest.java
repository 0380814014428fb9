package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.snipeloom.edge.PacedRequest.Kind;
import io.snipeloom.edge.PacedRequest.Position;
import io.snipeloom.transport.Eventually;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/** Sends signals to an instance that is a process of its own at moments that are easily missed. */
@Timeout(60)
class SignalMomentsTest {
  private static final double GRACE_SECONDS = 5;
  private static final long GRACE_MILLIS = 5_000;
  private static final int CALLERS = 20;

  private static final long VOTE_MILLIS = 1_000;

  /** Enough for a process that a signal ends. */
  private static final long SIGNAL_MILLIS = 500;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private PacedPlatform platform;
  private ShutdownJudge judge;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path directory;

  @BeforeEach
  void startReplica() throws IOException {
    platform = new PacedPlatform();
    platform.addReplica();
    judge = new ShutdownJudge(platform.work(), GRACE_SECONDS);
  }

  @AfterEach
  void stopReplica() throws IOException {
    threads.shutdownNow();
    platform.close();
  }

  /**
   * Guards against a start that SIGHUP ends. The settings come through a pipe, so that the process
   * is held where it reads them.
   */
  @Test
  void hangUpDuringStartDoesNotEndProcess() throws Exception {
    makePipe(directory.resolve("edge.json"));
    try (EdgeProcess edge = start()) {
      try (Writer settings = edge.openSettings()) {
        edge.hangUp();
        assertThat(edge.awaitEnd(SIGNAL_MILLIS), is(false));
        settings.write(edge.settingsText());
      }
      edge.awaitReady("llm-0");
    }
  }

  /** Guards against requests that are lost if SIGTERM comes before the instance is ready. */
  @Test
  void terminationDuringStartLosesNothing() throws Exception {
    try (EdgeProcess edge = start()) {
      Eventually.await("the listener is open", () -> canConnect(edge));
      final List<Future<Void>> votes = vote(edge);
      terminate(edge);
      assertEndsWithoutLoss(edge, votes);
    }
  }

  /** Guards against a second SIGTERM that ends the process at once. */
  @Test
  void secondTerminationLosesNothing() throws Exception {
    try (EdgeProcess edge = start()) {
      edge.awaitReady("llm-0");
      final List<Future<Void>> votes = vote(edge);
      awaitVotesRun();
      terminate(edge);
      edge.terminate();
      assertEndsWithoutLoss(edge, votes);
    }
  }

  /** Guards against a shutdown that a reload of the settings holds up or ends. */
  @Test
  void terminationRightAfterHangUpLosesNothing() throws Exception {
    try (EdgeProcess edge = start()) {
      edge.awaitReady("llm-0");
      final List<Future<Void>> votes = vote(edge);
      awaitVotesRun();
      edge.hangUp();
      terminate(edge);
      edge.hangUp();
      assertEndsWithoutLoss(edge, votes);
    }
  }

  /** Guards against requests that are lost if SIGTERM comes while the process is suspended. */
  @Test
  void terminationOfSuspendedProcessLosesNothing() throws Exception {
    try (EdgeProcess edge = start()) {
      edge.awaitReady("llm-0");
      final List<Future<Void>> votes = vote(edge);
      awaitVotesRun();
      edge.suspend();
      terminate(edge);
      TimeUnit.MILLISECONDS.sleep(VOTE_MILLIS / 2);
      edge.resume();
      assertEndsWithoutLoss(edge, votes);
    }
  }

  private EdgeProcess start() throws IOException {
    return new EdgeProcess(directory, platform.store(), "edge-1", GRACE_SECONDS);
  }

  private static void makePipe(Path path) throws IOException, InterruptedException {
    Process shell = new ProcessBuilder("mkfifo", path.toString()).inheritIO().start();
    assertThat(shell.waitFor(), is(0));
  }

  private static boolean canConnect(EdgeProcess edge) {
    try {
      edge.open().close();
      return true;
    } catch (IOException e) {
      // Nothing listens yet.
      return false;
    }
  }

  /** Lets each caller send a request that must not run twice, on a connection of its own. */
  private List<Future<Void>> vote(EdgeProcess edge) throws IOException {
    List<Future<Void>> votes = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      KeptConnection connection = new KeptConnection(edge.name(), edge.open(), new Random(i));
      String attempt = "vote-" + i;
      PacedRequest request = new PacedRequest(Kind.VOTE, VOTE_MILLIS, Position.START);
      Callable<Void> vote =
          () -> {
            try (connection) {
              judge.add(connection.send(attempt, request));
            }
            return null;
          };
      votes.add(threads.submit(vote));
    }
    return votes;
  }

  private void awaitVotesRun() {
    Eventually.await("a request runs", () -> platform.work().hasRun("vote-0"));
  }

  private void terminate(EdgeProcess edge) throws IOException, InterruptedException {
    judge.onSignal(edge.name());
    edge.terminate();
  }

  private void assertEndsWithoutLoss(EdgeProcess edge, List<Future<Void>> votes) throws Exception {
    assertThat("the process ends within its grace", edge.awaitEnd(GRACE_MILLIS), is(true));
    for (Future<Void> vote : votes) {
      vote.get(1, TimeUnit.SECONDS);
    }
    System.out.println(judge.summary());
    assertThat(judge.total(), is(CALLERS));
    assertThat(judge.lost(), is(empty()));
    assertThat(judge.repeated(), is(empty()));
    assertThat(judge.refusedThoughRun(), is(empty()));
  }
}

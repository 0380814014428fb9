package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Stops an instance that is a process of its own, while callers keep their connections and use them
 * until the process is gone. Store and replicas are sound fakes in the process of the test.
 *
 * <p>The system property snipeloom.seed is added to each seed.
 */
@Timeout(120)
class KeptConnectionShutdownTest {
  private static final int REPLICAS = 3;
  private static final long SEED_OFFSET = Long.getLong("snipeloom.seed", 0L);
  private static final long WARM_UP_MILLIS = 2_500;
  private static final long CHANGE_INTERVAL_MILLIS = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private PacedPlatform platform;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path directory;

  @BeforeEach
  void startReplicas() throws IOException {
    platform = new PacedPlatform();
    for (int i = 0; i < REPLICAS; i++) {
      platform.addReplica();
    }
  }

  @AfterEach
  void stopReplicas() throws IOException {
    threads.shutdownNow();
    platform.close();
  }

  /**
   * Guards against streams that begin late in the grace period, on connections that were kept, and
   * are cut when the process ends.
   */
  @ParameterizedTest
  @CsvSource({"8, 200, 9000, false, 1", "8, 150, 4500, true, 2", "5, 150, 6000, true, 3"})
  void requestThatReplicaReceivesIsAnsweredWhole(
      double graceSeconds, int callers, int longestStreamMillis, boolean changes, long seed)
      throws Exception {
    ShutdownJudge judge = new ShutdownJudge(platform.work(), graceSeconds);
    try (EdgeProcess edge = new EdgeProcess(directory, platform.store(), "edge-1", graceSeconds)) {
      edge.awaitReady("llm-0");
      List<Future<Void>> running = new ArrayList<>();
      for (int i = 0; i < callers; i++) {
        long callerSeed = (seed + SEED_OFFSET) * 100_000 + i;
        running.add(
            threads.submit(
                new KeptCaller("c" + i, edge, callerSeed, longestStreamMillis, judge::add)));
      }
      TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
      edge.terminate();
      judge.onSignal(edge.name());
      final long signalNanos = System.nanoTime();
      if (changes) {
        change(edge, signalNanos, graceSeconds);
      }
      long graceMillis = (long) (graceSeconds * 1_000);
      final boolean ended = edge.awaitEnd(graceMillis - millisSince(signalNanos));
      for (Future<Void> caller : running) {
        caller.get(5, TimeUnit.SECONDS);
      }
      System.out.printf("seed %d, %s%n", seed + SEED_OFFSET, judge.summary());
      assertThat("the process ends within its grace period", ended, is(true));
      assertThat(judge.lost(), is(empty()));
      assertThat(judge.repeated(), is(empty()));
      assertThat(judge.refusedThoughRun(), is(empty()));
      assertThat(judge.disordered(), is(empty()));
      assertThat(judge.total(), is(greaterThan(callers)));
    }
  }

  /** Reloads the settings and changes the configuration, each second, until the process ends. */
  private void change(EdgeProcess edge, long signalNanos, double graceSeconds) throws Exception {
    while (!edge.awaitEnd(CHANGE_INTERVAL_MILLIS)
        && millisSince(signalNanos) < (graceSeconds - 1) * 1_000) {
      edge.hangUp();
      platform.configure();
    }
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / NANOS_PER_MILLI;
  }
}

package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Restarts four instances, each a process, one second apart, while callers keep their connections,
 * settings and configuration change and replicas come and go.
 *
 * <p>The system properties snipeloom.stops and snipeloom.seed set the number of runs and the first
 * seed.
 */
@Timeout(120)
class RollingStopTest {
  /** Its longest streams last longer than the grace period, so that some are cut and resumed. */
  private static final long FIRST_SEED = 12;

  private static final int INSTANCES = 4;
  private static final int REPLICAS = 3;
  private static final int CALLERS = 200;
  private static final double GRACE_SECONDS = 8;
  private static final int SHORTEST_LIMIT_MILLIS = 2_000;
  private static final int LONGEST_LIMIT_MILLIS = 9_000;
  private static final long WARM_UP_MILLIS = 2_500;
  private static final long INTERVAL_MILLIS = 1_000;
  private static final long LAST_REQUEST_SECONDS = 40;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private PacedPlatform platform;
  private ShutdownJudge judge;
  private RollingFleet fleet;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path directory;

  @BeforeEach
  void startInstances() throws IOException {
    platform = new PacedPlatform();
    for (int i = 0; i < REPLICAS; i++) {
      platform.addReplica();
    }
    judge = new ShutdownJudge(platform.work(), GRACE_SECONDS);
    fleet = new RollingFleet(directory, platform, judge, GRACE_SECONDS);
    for (int i = 0; i < INSTANCES; i++) {
      fleet.start("edge-" + i);
    }
  }

  @AfterEach
  void stopAll() throws IOException, InterruptedException {
    threads.shutdownNow();
    fleet.stop();
    platform.close();
  }

  static LongStream seeds() {
    long first = Long.getLong("snipeloom.seed", FIRST_SEED);
    return LongStream.range(first, first + Integer.getInteger("snipeloom.stops", 1));
  }

  /**
   * Guards against requests that are cut, run twice or are refused though they run, and streams
   * that do not go on, while all instances are restarted one after the other.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void nothingIsLostWhileAllInstancesRestart(long seed) throws Exception {
    Random random = new Random(seed);
    int longestStreamMillis = random.nextInt(SHORTEST_LIMIT_MILLIS, LONGEST_LIMIT_MILLIS);
    final List<Future<Void>> callers = startCallers(seed, longestStreamMillis);
    TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
    final Future<Void> changes = threads.submit(this::change);
    for (Future<Void> restart : startRestarts(seed)) {
      restart.get();
    }
    fleet.end();
    for (Future<Void> caller : callers) {
      caller.get(LAST_REQUEST_SECONDS, TimeUnit.SECONDS);
    }
    changes.get();
    System.out.printf(
        "seed %d, streams of up to %d ms, %d killed, %s%n",
        seed, longestStreamMillis, fleet.kills(), judge.summary());
    assertThat(judge.lost(), is(empty()));
    assertThat(judge.repeated(), is(empty()));
    assertThat(judge.refusedThoughRun(), is(empty()));
    assertThat(judge.disordered(), is(empty()));
    assertThat(judge.failedResumptions(), is(empty()));
    assertThat(judge.total(), is(greaterThan(CALLERS)));
  }

  private List<Future<Void>> startCallers(long seed, int longestStreamMillis) {
    List<Future<Void>> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      long callerSeed = seed * 100_000 + i;
      callers.add(
          threads.submit(
              new RoamingCaller("c" + i, fleet, callerSeed, longestStreamMillis, judge::add)));
    }
    return callers;
  }

  private List<Future<Void>> startRestarts(long seed) {
    List<Future<Void>> restarts = new ArrayList<>();
    for (int i = 0; i < INSTANCES; i++) {
      int index = i;
      Callable<Void> restart =
          () -> {
            TimeUnit.MILLISECONDS.sleep(index * INTERVAL_MILLIS);
            fleet.restart(index, "edge-" + index, new Random(seed * 10 + index));
            return null;
          };
      restarts.add(threads.submit(restart));
    }
    return restarts;
  }

  /** Changes something each second: settings, configuration and, in turns, the replicas. */
  private Void change() throws IOException, InterruptedException {
    int leaving = 0;
    for (int step = 0; !fleet.isOver(); step++) {
      fleet.hangUp();
      platform.configure();
      switch (step % 3) {
        case 0 -> platform.drainReplica(leaving);
        case 1 -> platform.addReplica();
        default -> platform.removeReplica(leaving++);
      }
      TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
    }
    return null;
  }
}

package io.snipeloom.edge;

import io.snipeloom.transport.Eventually;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Instances that are processes, are stopped and come back. Thread-safe. */
final class RollingFleet {
  /** Callers learn from two failed readiness probes, one second apart, that an instance stops. */
  private static final long KNOWN_STOP_NANOS = 2_000_000_000L;

  private static final int MAX_REPEATED_SIGNAL_MILLIS = 5_000;

  private final Path directory;
  private final PacedPlatform platform;
  private final ShutdownJudge judge;
  private final double graceSeconds;
  private final List<Member> members = new CopyOnWriteArrayList<>();
  private final List<EdgeProcess> started = new CopyOnWriteArrayList<>();
  private final AtomicInteger kills = new AtomicInteger();
  private final AtomicInteger starts = new AtomicInteger();
  private volatile boolean over;

  /** A process and when callers stop to come to it. */
  private static final class Member {
    private final EdgeProcess process;
    private volatile boolean stopping;
    private volatile long leftNanos;

    private Member(EdgeProcess process) {
      this.process = process;
    }

    private boolean isOffered() {
      return !stopping || System.nanoTime() - leftNanos < 0;
    }
  }

  RollingFleet(Path directory, PacedPlatform platform, ShutdownJudge judge, double graceSeconds) {
    this.directory = directory;
    this.platform = platform;
    this.judge = judge;
    this.graceSeconds = graceSeconds;
  }

  /** Starts an instance, which callers come to once it is ready. */
  void start(String instance) throws IOException {
    String name = instance + "-process-" + starts.incrementAndGet();
    Path own = Files.createDirectory(directory.resolve(name));
    EdgeProcess process = new EdgeProcess(own, platform.store(), instance, graceSeconds);
    started.add(process);
    Eventually.await("the process is ready", process::isReady);
    members.add(new Member(process));
  }

  /** Stops the process of an instance by signals in series, and starts the instance again. */
  void restart(int index, String instance, Random random) throws IOException, InterruptedException {
    Member member = members.get(index);
    if (random.nextBoolean()) {
      member.process.hangUp();
    }
    long graceMillis = (long) (graceSeconds * 1_000);
    final long killNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(graceMillis);
    judge.onSignal(member.process.name());
    member.leftNanos = System.nanoTime() + KNOWN_STOP_NANOS;
    member.stopping = true;
    member.process.terminate();
    if (!member.process.awaitEnd(random.nextInt(MAX_REPEATED_SIGNAL_MILLIS))) {
      member.process.terminate();
    }
    if (!member.process.awaitEnd((killNanos - System.nanoTime()) / 1_000_000)) {
      kills.incrementAndGet();
      member.process.kill();
    }
    start(instance);
  }

  /** Returns a random process that callers come to, preferably another one than the given. */
  Optional<EdgeProcess> choose(Optional<EdgeProcess> last, Random random) {
    List<EdgeProcess> offered =
        members.stream().filter(Member::isOffered).map(member -> member.process).toList();
    List<EdgeProcess> others =
        offered.stream().filter(process -> !last.equals(Optional.of(process))).toList();
    List<EdgeProcess> choice = others.isEmpty() ? offered : others;
    return choice.isEmpty()
        ? Optional.empty()
        : Optional.of(choice.get(random.nextInt(choice.size())));
  }

  /** Sends SIGHUP to all processes. */
  void hangUp() throws IOException, InterruptedException {
    for (Member member : members) {
      if (member.process.isAlive()) {
        member.process.hangUp();
      }
    }
  }

  /** Returns how many processes had not ended by themselves when their grace was over. */
  int kills() {
    return kills.get();
  }

  /** Tells the callers to begin nothing more. */
  void end() {
    over = true;
  }

  boolean isOver() {
    return over;
  }

  /** Ends all processes at once. */
  void stop() throws InterruptedException {
    for (EdgeProcess process : started) {
      process.kill();
      process.awaitEnd(1_000);
    }
  }
}

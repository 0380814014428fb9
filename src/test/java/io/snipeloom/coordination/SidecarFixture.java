package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.Messages;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.UpstreamKind;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A sidecar with fake collaborators, and a clock and an executor that the test controls. */
final class SidecarFixture implements DecisionLookup, RecordSink {
  final Set<Incarnation> closedHolders = new HashSet<>();
  final Set<String> suspects = new HashSet<>();
  final Set<String> convicted = new HashSet<>();
  final List<DecisionRecord> records = new ArrayList<>();
  final List<CompletableFuture<Long>> pendingAppends = new ArrayList<>();
  final FakeBackEnd backEnd = new FakeBackEnd();
  final FakeConnection router = new FakeConnection();
  final MetricRegistry metrics = new MetricRegistry();
  final Sidecar sidecar;
  boolean logDown;
  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private long nowNanos = 1;

  SidecarFixture(UpstreamKind kind, SidecarLimits limits) {
    sidecar =
        Sidecar.of(
            Messages.SIDECAR,
            Messages.UPSTREAM,
            kind,
            limits,
            this,
            this,
            backEnd,
            tasks::add,
            () -> Instant.ofEpochSecond(0, nowNanos),
            () -> nowNanos,
            metrics);
  }

  static SidecarFixture started(UpstreamKind kind, SidecarLimits limits) {
    SidecarFixture fixture = new SidecarFixture(kind, limits);
    fixture.sidecar.start();
    fixture.run();
    fixture.sidecar.onOpened(fixture.router);
    fixture.run();
    return fixture;
  }

  static SidecarFixture engine() {
    return started(UpstreamKind.MODEL_ENGINE, SidecarLimits.standard());
  }

  static SidecarFixture service() {
    return started(UpstreamKind.PLAIN_SERVICE, SidecarLimits.standard());
  }

  void run() {
    while (!tasks.isEmpty()) {
      tasks.removeFirst().run();
    }
  }

  void send(FakeConnection from, Message message) {
    sidecar.onMessage(from, message);
    run();
  }

  void send(Message message) {
    send(router, message);
  }

  /** Advances the clock in steps of at most 500 ms, with a tick after each. */
  void advance(Duration time) {
    long end = nowNanos + time.toNanos();
    while (nowNanos < end) {
      nowNanos = Math.min(end, nowNanos + Duration.ofMillis(500).toNanos());
      sidecar.tick();
      run();
    }
  }

  /** Advances the clock without a tick, as if the process had been paused. */
  void pause(Duration time) {
    nowNanos += time.toNanos();
  }

  FakeBackEnd.Call call(int index) {
    return backEnd.calls.get(index);
  }

  void reconnect(FakeConnection previous, FakeConnection next) {
    sidecar.onClosed(previous, null);
    sidecar.onOpened(next);
    run();
  }

  <R extends DecisionRecord> List<R> records(Class<R> type) {
    return records.stream().filter(type::isInstance).map(type::cast).toList();
  }

  @Override
  public boolean isClosed(Incarnation holder) {
    return closedHolders.contains(holder);
  }

  @Override
  public boolean isConvicted(String fingerprint) {
    return convicted.contains(fingerprint);
  }

  @Override
  public boolean isSuspect(String fingerprint) {
    return suspects.contains(fingerprint);
  }

  @Override
  public CompletionStage<Long> append(List<DecisionRecord> appended) {
    records.addAll(appended);
    CompletableFuture<Long> done = new CompletableFuture<>();
    if (logDown) {
      pendingAppends.add(done);
    } else {
      done.complete((long) records.size());
    }
    return done;
  }

  void restoreLog() {
    logDown = false;
    pendingAppends.forEach(append -> append.complete(0L));
    run();
  }
}

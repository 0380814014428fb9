package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.LogLine;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.UpstreamKind;
import io.snipeloom.transport.FrameConnection;
import io.snipeloom.transport.FrameListener;
import java.time.InstantSource;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * The process that runs next to one back end. It accepts attempts from routers, runs each at most
 * once, buffers the answers for readers and settles the consumed tokens.
 *
 * <p>Thread-safe: all state is confined to one serial executor, to which every event is passed. The
 * owner must call {@link #tick()} several times a second.
 */
public final class Sidecar implements FrameListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Incarnation self;
  private final UpstreamId upstream;
  private final SidecarLimits limits;
  private final RecordSink sink;
  private final Executor executor;
  private final LongSupplier nanoClock;
  private final MetricRegistry metrics;
  private final AttemptMemory memory;
  private final AttemptTable attempts;
  private final AttemptQueue queue;
  private final CrashSuspects crashes;
  private final SettlementWriter settlements;
  private final AttemptRunner runner;
  private final EngineMonitor engineMonitor;
  private final RouterRequests requests;
  private final OrderQueue orders;
  private final Set<FrameConnection> routers = new LinkedHashSet<>();
  private final CompletableFuture<Void> leaveCompleted = new CompletableFuture<>();
  private volatile Message.Heartbeat load = new Message.Heartbeat(0, 0, 0);
  private volatile boolean joined;
  private boolean leaving;
  private boolean leaveRecorded;
  private boolean replaced;
  private long lastTickNanos;

  private Sidecar(
      Incarnation self,
      UpstreamId upstream,
      UpstreamKind kind,
      SidecarLimits limits,
      DecisionLookup decisions,
      RecordSink sink,
      BackEndClient backEnd,
      Executor executor,
      InstantSource clock,
      LongSupplier nanoClock,
      MetricRegistry metrics) {
    this.self = self;
    this.upstream = upstream;
    this.limits = limits;
    this.sink = sink;
    this.executor = executor;
    this.nanoClock = nanoClock;
    this.metrics = metrics;
    this.memory = new AttemptMemory(limits.maxRecords(), limits.attemptRetention().toNanos());
    this.attempts = new AttemptTable(limits.maxEndedBytes(), limits.answerRetention().toNanos());
    this.queue = new AttemptQueue(limits.capacity(), limits.queueLimit());
    this.crashes = new CrashSuspects(decisions);
    DispatchGuard guard = new DispatchGuard(self, decisions, crashes, memory);
    this.settlements = new SettlementWriter(self, sink, executor, metrics);
    this.runner =
        new AttemptRunner(
            kind,
            backEnd,
            queue,
            memory,
            guard,
            crashes,
            settlements,
            executor,
            nanoClock,
            metrics);
    this.engineMonitor =
        new EngineMonitor(
            self,
            backEnd,
            queue,
            runner,
            crashes,
            sink,
            executor,
            nanoClock,
            limits.crashReportTimeout().toNanos(),
            metrics);
    this.orders = new OrderQueue(backEnd, executor, metrics);
    this.requests =
        new RouterRequests(
            kind,
            limits,
            memory,
            attempts,
            queue,
            guard,
            settlements,
            runner,
            this::readiness,
            clock,
            nanoClock,
            metrics);
    this.lastTickNanos = nanoClock.getAsLong();
    runner.setCrashHandler(engineMonitor::onBroken);
    runner.setBlocked(true);
  }

  /**
   * Returns a sidecar that is not started yet.
   *
   * @param self its incarnation
   * @param upstream the upstream of its back end
   * @param kind the kind of back end
   * @param limits its limits
   * @param decisions the decision state
   * @param sink the sink for its records
   * @param executor runs tasks one at a time and in order
   * @param clock the wall clock, used only to check the issue time of request keys
   * @param nanoClock a monotonic clock in nanoseconds
   * @param metrics the registry for metrics
   */
  public static Sidecar of(
      Incarnation self,
      UpstreamId upstream,
      UpstreamKind kind,
      SidecarLimits limits,
      DecisionLookup decisions,
      RecordSink sink,
      BackEndClient backEnd,
      Executor executor,
      InstantSource clock,
      LongSupplier nanoClock,
      MetricRegistry metrics) {
    return new Sidecar(
        self, upstream, kind, limits, decisions, sink, backEnd, executor, clock, nanoClock,
        metrics);
  }

  /** Appends the record that this incarnation joined, and accepts work once it is in the log. */
  public void start() {
    executor.execute(engineMonitor::probe);
    var unused =
        sink.append(List.of(new DecisionRecord.SidecarJoined(self, upstream)))
            .thenRunAsync(() -> joined = true, executor);
  }

  /**
   * Refuses new work, completes the open attempts and settles them.
   *
   * @return completes when the last record is in the log and the answers were delivered to their
   *     readers
   */
  public CompletionStage<Void> leave() {
    executor.execute(this::leaveNow);
    return leaveCompleted;
  }

  /**
   * Returns whether the record that this incarnation joined is in the log, before which it refuses
   * work.
   */
  public boolean isJoined() {
    return joined;
  }

  /** Returns the load to report in heartbeats. */
  public Message.Heartbeat load() {
    return load;
  }

  /**
   * Runs the periodic work: probes the back end, sends orders, and expires attempts, answers and
   * records.
   */
  public void tick() {
    executor.execute(this::tickNow);
  }

  /** Called when a holder was closed. */
  public void onHolderClosed(Incarnation holder) {
    executor.execute(() -> closeHolder(holder));
  }

  /**
   * Called when the conviction or suspicion of a request has ended.
   *
   * @param fingerprint the fingerprint of the request
   */
  public void onCleared(String fingerprint) {
    executor.execute(() -> crashes.clear(fingerprint));
  }

  /** Called when another incarnation has taken over the slot. */
  public void onReplaced() {
    executor.execute(
        () -> {
          replaced = true;
          orders.fence();
        });
  }

  /**
   * Called when an order to the engine of this slot is in the log.
   *
   * @param fencingNumber the fencing number, which is the log offset of the order's record
   */
  public void onOrder(long fencingNumber, EngineOrder order) {
    executor.execute(
        () -> {
          orders.add(fencingNumber, order);
          orders.sendNext();
        });
  }

  @Override
  public void onOpened(FrameConnection connection) {
    executor.execute(
        () -> {
          routers.add(connection);
          if (leaving) {
            connection.send(new Message.Leaving());
          }
        });
  }

  @Override
  public void onMessage(FrameConnection connection, Message message) {
    executor.execute(
        () -> {
          requests.receive(connection, message);
          updateLoad();
        });
  }

  @Override
  public void onWritable(FrameConnection connection) {
    executor.execute(() -> attempts.sendAvailable(connection));
  }

  @Override
  public void onClosed(FrameConnection connection, SnipeloomException reason) {
    executor.execute(
        () -> {
          routers.remove(connection);
          attempts.unsubscribe(connection);
        });
  }

  @Override
  public void onFailed(SnipeloomException reason) {
    throw new UnsupportedOperationException("a sidecar opens no connections");
  }

  private DispatchGuard.Readiness readiness() {
    if (replaced) {
      return DispatchGuard.Readiness.REPLACED;
    }
    if (leaving) {
      return DispatchGuard.Readiness.LEAVING;
    }
    if (!joined) {
      return DispatchGuard.Readiness.STARTING;
    }
    if (nanoClock.getAsLong() - lastTickNanos > limits.maxTickGap().toNanos()) {
      return DispatchGuard.Readiness.PAUSED;
    }
    return engineMonitor.isUp()
        ? DispatchGuard.Readiness.READY
        : DispatchGuard.Readiness.BACK_END_DOWN;
  }

  private void closeHolder(Incarnation holder) {
    for (SidecarAttempt waiting : queue.waiting()) {
      if (waiting.holder().equals(holder) && queue.removeWaiting(waiting)) {
        runner.refuse(waiting, ErrorCode.FENCED, "the budget holder is closed", 0);
      }
    }
    settlements.holderClosed(holder);
  }

  private void leaveNow() {
    if (leaving) {
      return;
    }
    leaving = true;
    logger.atInfo().log("%s", LogLine.of("sidecar.leaving").with("open", queue.runningCount()));
    routers.forEach(router -> router.send(new Message.Leaving()));
    finishLeaving();
  }

  private void finishLeaving() {
    boolean idle = queue.runningCount() == 0 && queue.waitingCount() == 0;
    if (!leaving || leaveRecorded || !idle || !settlements.isSettled() || !isDelivered()) {
      return;
    }
    leaveRecorded = true;
    var unused =
        sink.append(List.of(new DecisionRecord.SidecarLeft(self)))
            .thenRunAsync(() -> leaveCompleted.complete(null), executor);
  }

  private boolean isDelivered() {
    return attempts.isDelivered(limits.unreadLimit().toNanos(), nanoClock.getAsLong());
  }

  private void tickNow() {
    long now = nanoClock.getAsLong();
    lastTickNanos = now;
    engineMonitor.tick(now);
    engineMonitor.probe();
    orders.sendNext();
    expireAttempts(now);
    attempts.evict(now);
    memory.expire(now);
    finishLeaving();
    updateLoad();
  }

  private void expireAttempts(long now) {
    for (SidecarAttempt waiting : queue.waiting()) {
      if (waiting.isExpired(now) && queue.removeWaiting(waiting)) {
        runner.refuse(waiting, ErrorCode.DEADLINE_EXCEEDED, "the deadline passed", 0);
      }
    }
    for (SidecarAttempt running : queue.running()) {
      expireRunning(running, now);
    }
  }

  private void expireRunning(SidecarAttempt running, long now) {
    if (running.isEnded() || running.isBroken() || !running.isRepeatable()) {
      return;
    }
    boolean unread = running.isUnreadFor(limits.unreadLimit().toNanos(), now);
    if (running.isExpired(now)) {
      runner.fail(running, ErrorCode.DEADLINE_EXCEEDED, "the deadline passed");
    } else if (unread && !running.dispatch().retained()) {
      metrics.meter("sidecar.attempts.unread").mark();
      runner.fail(running, ErrorCode.CONNECTION_LOST, "the answer has no reader");
    }
  }

  private void updateLoad() {
    int capacity = engineMonitor.isUp() ? queue.capacity() : 0;
    load = new Message.Heartbeat(queue.runningCount(), queue.waitingCount(), capacity);
  }
}

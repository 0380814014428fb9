package io.snipeloom.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.client.HttpLogService;
import io.snipeloom.coordination.LogReplica;
import io.snipeloom.coordination.LogWriter;
import io.snipeloom.coordination.LogWriterSettings;
import io.snipeloom.coordination.Sidecar;
import io.snipeloom.coordination.SidecarLimits;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.LogLine;
import io.snipeloom.transport.FrameServer;
import io.snipeloom.transport.FrameSettings;
import io.snipeloom.transport.HttpHost;
import io.snipeloom.transport.HttpLimits;
import io.snipeloom.transport.OperationsController;
import io.snipeloom.transport.SharedKey;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * The sidecar process of one back end: reads the log, accepts work from routers and calls the back
 * end.
 *
 * <p>Can be started and stopped only once. When stopped, it immediately rejects new work, finishes
 * and settles the open work and only then closes its connections.
 */
public final class SidecarDaemon {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK_PERIOD = Duration.ofMillis(100);
  private static final int TICKS_PER_HOLDER_CHECK = 100;

  private final SidecarSettings settings;
  private final Incarnation self;
  private final MetricRegistry metrics = new MetricRegistry();
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "sidecar"));
  private final HttpLogService log;
  private final LogReplica replica;
  private final LogWriter writer;
  private final HttpBackEnd backEnd;
  private final Sidecar sidecar;
  private final FrameServer server;
  private final HttpHost operations;
  private boolean sidecarStarted;
  private long ticks;

  private SidecarDaemon(SidecarSettings settings) {
    this.settings = settings;
    this.self = Incarnations.generate(settings.instance());
    this.log = settings.log().open();
    this.replica = new LogReplica(settings.log().stream(), log, System::nanoTime, metrics);
    this.writer =
        new LogWriter(
            settings.log().stream(),
            self,
            log,
            replica,
            LogWriterSettings.standard(),
            System::nanoTime,
            metrics);
    SidecarLimits limits =
        SidecarLimits.standard().withCapacity(settings.capacity(), settings.queueLimit());
    this.backEnd =
        HttpBackEnd.of(settings.kind(), URI.create(settings.backEnd()), (int) limits.answerBytes());
    this.sidecar =
        Sidecar.of(
            self,
            settings.upstream(),
            settings.kind(),
            limits,
            new ReplicaDecisions(replica),
            writer,
            backEnd,
            this::execute,
            InstantSource.system(),
            System::nanoTime,
            metrics);
    this.server =
        FrameServer.of(
            self,
            FrameSettings.of(SharedKey.of(settings.sharedKey())),
            sidecar,
            sidecar::load,
            metrics);
    this.operations =
        HttpHost.of(
            OperationsController.SURFACE,
            settings.operations().address(),
            settings.operations().port(),
            HttpLimits.standard(),
            metrics,
            new SidecarReadiness(this::isReady));
  }

  /** Creates a sidecar, which must still be started. */
  public static SidecarDaemon of(SidecarSettings settings) {
    return new SidecarDaemon(settings);
  }

  /**
   * Starts reading the log and listens for routers. Work is accepted once the log contains the
   * record that this incarnation has joined.
   */
  public void start() {
    replica.addListener(new SidecarEvents(self, settings.instance(), sidecar, replica));
    replica.addWriter(writer);
    replica.start();
    writer.start();
    server.start(settings.listen().address(), settings.listen().port());
    operations.start();
    var unused =
        executor.scheduleWithFixedDelay(
            () -> runLoggingErrors(this::tick), 0, TICK_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    logger.atInfo().log(
        "%s",
        LogLine.of("sidecar.started")
            .with("incarnation", self)
            .with("upstream", settings.upstream())
            .with("zone", settings.zone())
            .with("port", server.port()));
  }

  private void execute(Runnable task) {
    executor.execute(() -> runLoggingErrors(task));
  }

  private void runLoggingErrors(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      metrics.meter("sidecar.tasks.failed").mark();
      logger.atSevere().withCause(e).log("%s", LogLine.of("sidecar.task.failed"));
    }
  }

  private void tick() {
    if (!sidecarStarted && replica.isCaughtUp()) {
      sidecarStarted = true;
      sidecar.start();
    }
    if (ticks++ % TICKS_PER_HOLDER_CHECK == 0) {
      reportAwaitedHolders();
    }
    sidecar.tick();
  }

  /**
   * Reports the closed holders that still wait for this sidecar. Their events are not seen if the
   * replica was loaded from a later snapshot.
   */
  private void reportAwaitedHolders() {
    replica
        .read(
            state ->
                state.strandedHolders().stream()
                    .filter(holder -> state.awaitedSidecars(holder).contains(self))
                    .toList())
        .forEach(sidecar::onHolderClosed);
  }

  /**
   * Waits for the open work and then for pending log records, each for at most the configured time,
   * and closes all connections.
   */
  public void stop() {
    Duration timeout = Duration.ofSeconds(settings.drainSeconds());
    boolean drained = drain(timeout);
    boolean written = writer.stop(timeout);
    logger.atInfo().log(
        "%s",
        LogLine.of("sidecar.stopped")
            .with("incarnation", self)
            .with("drained", drained)
            .with("written", written));
    server.stop();
    operations.stop();
    executor.shutdownNow();
    replica.stop();
    backEnd.stop();
    log.stop();
  }

  private boolean drain(Duration timeout) {
    try {
      sidecar.leave().toCompletableFuture().get(timeout.toMillis(), TimeUnit.MILLISECONDS);
      return true;
    } catch (TimeoutException | ExecutionException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Returns whether the sidecar accepts work.
   *
   * @return true if the replica is caught up, this incarnation has joined and the back end is up
   */
  public boolean isReady() {
    return replica.isCaughtUp() && sidecar.isJoined() && sidecar.load().capacity() > 0;
  }

  /** Returns the metrics of the process. */
  public MetricRegistry metrics() {
    return metrics;
  }

  /** Returns the incarnation of the process. */
  public Incarnation incarnation() {
    return self;
  }

  /** Returns the TCP port on which health, readiness and metrics are served. */
  public int operationsPort() {
    return operations.port();
  }

  /** Returns the TCP port on which routers connect. */
  public int port() {
    return server.port();
  }
}

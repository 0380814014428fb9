package io.snipeloom.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.coordination.LogReplica;
import io.snipeloom.coordination.LogWriter;
import io.snipeloom.coordination.LogWriterSettings;
import io.snipeloom.coordination.Sidecar;
import io.snipeloom.coordination.SidecarLimits;
import io.snipeloom.platform.HttpLogService;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.LogLine;
import io.snipeloom.transport.FrameServer;
import io.snipeloom.transport.FrameSettings;
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
 * The process beside one back end: follows the log, takes work from routers and calls the back end.
 *
 * <p>Started and stopped once. A stop refuses new work at once, finishes what is open, settles it
 * and only then closes connections.
 */
public final class SidecarDaemon {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK = Duration.ofMillis(100);

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
  private boolean announced;

  private SidecarDaemon(SidecarSettings settings) {
    this.settings = settings;
    this.self = Incarnations.fresh(settings.instance());
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
            executor,
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
  }

  /**
   * Returns a sidecar that is not started yet.
   *
   * @param settings the settings
   * @return the sidecar
   */
  public static SidecarDaemon of(SidecarSettings settings) {
    return new SidecarDaemon(settings);
  }

  /** Starts to follow the log and listens; work is taken once the incarnation is announced. */
  public void start() {
    replica.addListener(new SidecarEvents(self, settings.instance(), sidecar, replica));
    replica.addWriter(writer);
    replica.start();
    writer.start();
    server.start(settings.listen().address(), settings.listen().port());
    var unused =
        executor.scheduleWithFixedDelay(this::tick, 0, TICK.toMillis(), TimeUnit.MILLISECONDS);
    logger.atInfo().log(
        "%s",
        LogLine.of("sidecar.started")
            .with("incarnation", self)
            .with("upstream", settings.upstream())
            .with("zone", settings.zone())
            .with("port", server.port()));
  }

  private void tick() {
    if (!announced && replica.isCaughtUp()) {
      announced = true;
      sidecar.start();
    }
    sidecar.tick();
  }

  /** Stops without cutting off open work. */
  public void stop() {
    Duration patience = Duration.ofSeconds(settings.drainSeconds());
    final boolean drained = awaitLeft(patience);
    final boolean written = writer.stop(patience);
    server.stop();
    executor.shutdownNow();
    replica.stop();
    backEnd.stop();
    log.stop();
    logger.atInfo().log(
        "%s",
        LogLine.of("sidecar.stopped")
            .with("incarnation", self)
            .with("drained", drained)
            .with("written", written));
  }

  private boolean awaitLeft(Duration patience) {
    try {
      sidecar.leave().toCompletableFuture().get(patience.toMillis(), TimeUnit.MILLISECONDS);
      return true;
    } catch (TimeoutException | ExecutionException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Returns whether work is taken.
   *
   * @return true once the log is followed, the incarnation is announced and the back end is up
   */
  public boolean isReady() {
    return replica.isCaughtUp() && sidecar.isJoined() && sidecar.load().capacity() > 0;
  }

  /**
   * Returns the metrics of the process.
   *
   * @return the registry
   */
  public MetricRegistry metrics() {
    return metrics;
  }

  /**
   * Returns the incarnation of the process.
   *
   * @return the incarnation
   */
  public Incarnation incarnation() {
    return self;
  }

  /**
   * Returns the port for routers.
   *
   * @return the TCP port
   */
  public int port() {
    return server.port();
  }
}

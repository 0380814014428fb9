package io.snipeloom.edge;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.snipeloom.forwarding.Fleet;
import io.snipeloom.forwarding.FrontServer;
import io.snipeloom.forwarding.HttpCaller;
import io.snipeloom.peer.LoanClient;
import io.snipeloom.peer.LoanServer;
import io.snipeloom.platform.PlatformHeaders;
import io.snipeloom.platform.PlatformStore;
import io.snipeloom.platform.PlatformTopics;
import io.snipeloom.routing.Replica;
import io.snipeloom.routing.RetryAllowance;
import io.snipeloom.spend.ClaimPolicy;
import io.snipeloom.spend.MachineClock;
import io.snipeloom.spend.SpendControl;
import io.snipeloom.store.KeyedLedger;
import io.snipeloom.store.KeyedLog;
import io.snipeloom.store.KeyedUsage;
import io.snipeloom.store.StoreAnswer;
import io.snipeloom.store.TopicWatch;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;
import io.snipeloom.transport.MetricsText;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Runs an edge instance: follows configuration and replicas, serves callers, and drains on stop.
 *
 * <p>{@link #start} and {@link #stop} may be called from any thread; everything else runs on one
 * event loop.
 */
public final class EdgeDaemon {
  private static final String LEDGER_TOPIC = "ledger";
  private static final String USAGE_TOPIC = "usage";

  /** Tokens in hand last through an outage of the store of this length, in seconds. */
  private static final double CLAIM_HORIZON_SECONDS = 10;

  /** How long a read waits; bounds the time to notice a silent connection to the store. */
  private static final long WATCH_WAIT_MILLIS = 700;

  /** Replicas write often; their records are read in batches this far apart. */
  private static final long REPLICA_BATCH_MILLIS = 250;

  private static final long TICK_MILLIS = 50;
  private static final long HEARTBEAT_MILLIS = 5_000;

  /**
   * The balancer needs two failed probes a second apart before it sends no new connections. After
   * that none is accepted, so that the last requests have time to end before the kill.
   */
  private static final long BALANCER_NANOS = 2_600_000_000L;

  /**
   * The time to return tokens after the last request. If the store does not answer, the next
   * incarnation takes them over, which serves callers sooner than waiting.
   */
  private static final long RETURN_NANOS = 800_000_000L;

  /** Kept free before the kill, for the last answers and log lines. */
  private static final double KILL_MARGIN_SECONDS = 0.4;

  private static final double NANOS_PER_SECOND = 1e9;

  private final EdgeSettings settings;
  private final EventLog log;
  private final FleetMetrics metrics = new FleetMetrics();
  private final String incarnation;
  private final String boot;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final LoopTimer timer;
  private final KeyedLog store;
  private final LoanClient loans;
  private final Fleet fleet;
  private final FrontServer front;
  private final CountDownLatch drained = new CountDownLatch(1);
  private int fleetSize = FleetMembers.ASSUMED_SIZE;
  private boolean storeAnswers = true;
  private boolean draining;
  private boolean acceptingEnded;
  private boolean drainDone;
  private long drainNanos;
  private long quietSinceNanos;

  private EdgeDaemon(EdgeSettings settings, String incarnation, String boot, EventLog log) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.boot = boot;
    this.log = log;
    this.timer = new LoopTimer(loop, log);
    this.store = new PlatformStore(new HttpCaller(loop, settings.store()));
    this.loans = new LoanClient(loop, new Random());
    long startNanos = System.nanoTime();
    SpendControl spend =
        new SpendControl(
            incarnation,
            MachineClock.of(boot, System.currentTimeMillis(), startNanos),
            startNanos,
            new KeyedLedger(store, LEDGER_TOPIC),
            new KeyedUsage(store, USAGE_TOPIC, settings.instance(), settings.storePartitions()),
            settings.storePartitions(),
            new ClaimPolicy(CLAIM_HORIZON_SECONDS, fleetSize),
            loans,
            new SpendEventLogger(log, metrics));
    this.fleet = new Fleet(loop, new PlatformHeaders(), settings.zone(), spend, this::newAllowance);
    this.front = new FrontServer(loop, fleet, log, metrics);
  }

  /**
   * Returns a daemon that does not run yet.
   *
   * @param settings the settings
   * @param incarnation names this start of the instance; no other start ever has the same name
   * @param boot identifies the boot of the machine; empty if unknown
   * @param log the log
   * @return the daemon
   */
  public static EdgeDaemon of(
      EdgeSettings settings, String incarnation, String boot, EventLog log) {
    return new EdgeDaemon(settings, incarnation, boot, log);
  }

  /** Starts to serve. */
  public void start() {
    log.start();
    log.log("start", "instance", settings.instance(), "incarnation", incarnation, "boot", boot);
    new OperationsServer(loop, this::readiness).start(settings.readiness());
    new OperationsServer(loop, this::metricsText).start(settings.metrics());
    new LoanServer(loop, fleet.spend(), log).start(settings.loans());
    front.start(settings.callers());
    loop.execute(this::follow);
    timer.every(this::tick, TICK_MILLIS, TICK_MILLIS);
  }

  /** Finishes the requests under way, returns the tokens in hand, and stops. */
  public void stop() {
    loop.execute(this::drain);
    try {
      drained.await((long) (settings.graceSeconds() * 1_000), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    log.log("stop", "instance", settings.instance(), "open_requests", front.openRequests());
    log.stop();
  }

  /** Ends at once, as a kill does. */
  void halt() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    log.stop();
  }

  /**
   * Logs that the settings changed; they take effect at the next start.
   *
   * @param changed the settings
   */
  public void reload(EdgeSettings changed) {
    log.log("reload", "instance", settings.instance(), "same", changed.equals(settings));
  }

  private void follow() {
    new TopicWatch(
            store,
            PlatformTopics.CONFIGURATION,
            WATCH_WAIT_MILLIS,
            0,
            timer,
            new ConfigurationFeed(fleet, log, this::onStoreAnswer))
        .start();
    new TopicWatch(
            store,
            PlatformTopics.REPLICAS,
            WATCH_WAIT_MILLIS,
            REPLICA_BATCH_MILLIS,
            timer,
            new ReplicaFeed(fleet, log, this::onStoreAnswer))
        .start();
    FleetMembers members =
        new FleetMembers(store, settings.instance(), settings.loans(), this::onMembers);
    timer.every(() -> members.beat(incarnation), 0, HEARTBEAT_MILLIS);
  }

  private void tick() {
    long now = System.nanoTime();
    front.tick(now);
    fleet.spend().tick(now);
    front.closeOverdue();
    fleet.closeStaleConnections();
    for (Replica dropped : fleet.directory().dropLapsed(now)) {
      fleet.forget(dropped.id());
      log.log("replica_gone", "replica", dropped.id(), "reason", "entry did not come back");
    }
    if (draining) {
      continueDrain(now);
    }
  }

  private void drain() {
    draining = true;
    drainNanos = System.nanoTime();
    log.log("drain", "open_requests", front.openRequests());
    front.drain();
  }

  private void continueDrain(long now) {
    long elapsed = now - drainNanos;
    if (drainDone || elapsed < BALANCER_NANOS) {
      return;
    }
    if (!acceptingEnded) {
      acceptingEnded = true;
      quietSinceNanos = now;
      front.stopAccepting();
      fleet.spend().returnAll(now);
      log.log("stopped_accepting", "open_requests", front.openRequests());
    }
    front.closeIdle();
    if (front.openRequests() > 0) {
      quietSinceNanos = now;
    }
    boolean settled = fleet.spend().isSettled() || now - quietSinceNanos > RETURN_NANOS;
    boolean quiet = front.openRequests() == 0 && settled;
    double limit = (settings.graceSeconds() - KILL_MARGIN_SECONDS) * NANOS_PER_SECOND;
    if (quiet || elapsed > limit) {
      drainDone = true;
      drained.countDown();
    }
  }

  private RetryAllowance newAllowance() {
    return new RetryAllowance(
        settings.retryRatio(),
        () -> settings.retrySlack() / fleetSize,
        (long) (settings.retryWindowSeconds() * NANOS_PER_SECOND));
  }

  private void onMembers(int size, Map<String, InetSocketAddress> others) {
    loans.peers(others);
    if (size != fleetSize) {
      log.log("fleet_size", "before", fleetSize, "now", size);
      fleetSize = size;
      if (!draining) {
        fleet.spend().use(new ClaimPolicy(CLAIM_HORIZON_SECONDS, size));
      }
    }
  }

  private OperationsServer.Answer readiness() {
    boolean ready = !draining && fleet.configuration().isPresent() && fleet.directory().size() > 0;
    return new OperationsServer.Answer(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }

  private OperationsServer.Answer metricsText() {
    return new OperationsServer.Answer(200, MetricsText.of(metrics.registry()));
  }

  private void onStoreAnswer(StoreAnswer answer) {
    boolean answers = answer.isInService();
    if (answers) {
      fleet.directory().onRegistryAnswered(System.nanoTime());
    } else {
      fleet.directory().onRegistryLost();
    }
    if (answers != storeAnswers) {
      storeAnswers = answers;
      fleet.storeReachable(answers);
      log.log(answers ? "store_regained" : "store_lost", "answer", answer);
    }
  }
}

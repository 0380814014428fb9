package io.snipeloom.edge;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.snipeloom.buffering.BufferBounds;
import io.snipeloom.buffering.Buffers;
import io.snipeloom.crashes.CrashControl;
import io.snipeloom.forwarding.AsyncHttpClient;
import io.snipeloom.forwarding.ConnectionEvents;
import io.snipeloom.forwarding.Fleet;
import io.snipeloom.forwarding.ProxyServer;
import io.snipeloom.peer.ClaimClient;
import io.snipeloom.peer.DemandSender;
import io.snipeloom.peer.LoanClient;
import io.snipeloom.peer.OriginClient;
import io.snipeloom.peer.PeerServer;
import io.snipeloom.platform.PlatformHeaders;
import io.snipeloom.platform.PlatformStore;
import io.snipeloom.platform.PlatformTopics;
import io.snipeloom.resumption.StreamContinuity;
import io.snipeloom.routing.DemandReport;
import io.snipeloom.routing.LimitShares;
import io.snipeloom.routing.PeerDemand;
import io.snipeloom.routing.PlacementRules;
import io.snipeloom.routing.Replica;
import io.snipeloom.routing.ReplicaDirectory;
import io.snipeloom.routing.ReplicaPicker;
import io.snipeloom.routing.RetryAllowance;
import io.snipeloom.routing.ShareRoster;
import io.snipeloom.spend.ClaimPolicy;
import io.snipeloom.spend.CustomerHolders;
import io.snipeloom.spend.FleetClock;
import io.snipeloom.spend.MachineClock;
import io.snipeloom.spend.SpendControl;
import io.snipeloom.store.KeyedConvictions;
import io.snipeloom.store.KeyedLedger;
import io.snipeloom.store.KeyedLog;
import io.snipeloom.store.KeyedOrigins;
import io.snipeloom.store.KeyedUsage;
import io.snipeloom.store.StoreAvailability;
import io.snipeloom.store.StoreOutcome;
import io.snipeloom.store.TopicWatch;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;
import io.snipeloom.telemetry.LinkReport;
import io.snipeloom.telemetry.LinkTraffic;
import io.snipeloom.telemetry.LinkUtilization;
import io.snipeloom.telemetry.LoopDelay;
import io.snipeloom.telemetry.RoundTripTime;
import io.snipeloom.transport.MetricsText;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Runs an edge instance: watches the configuration and the replica entries in the store, serves
 * callers, and drains before it stops.
 *
 * <p>{@link #start} and {@link #stop} may be called from any thread; everything else runs on the
 * thread of one event loop.
 */
public final class EdgeDaemon {
  private static final String LEDGER_TOPIC = "ledger";
  private static final String USAGE_TOPIC = "usage";
  private static final String ORIGIN_TOPIC = "streams";
  private static final String ORIGIN_DECLARATION_TOPIC = "versions";
  private static final String CRASH_TOPIC = "crashes";

  /** Length of a store outage that the tokens claimed ahead are meant to cover, in seconds. */
  private static final double OUTAGE_COVERAGE_SECONDS = 10;

  /**
   * How long a read of the store waits for new records. It also bounds the time until an
   * unresponsive connection to the store is noticed.
   */
  private static final long READ_WAIT_MILLIS = 700;

  /**
   * How long a read of the replica topic waits for new records. Replicas write often, so that few
   * reads wait for so long unless their connection is dead.
   */
  private static final long REPLICA_READ_WAIT_MILLIS = 400;

  /** Pause between reads of the replica topic, which batches its frequent updates. */
  private static final long REPLICA_READ_PAUSE_MILLIS = 250;

  /** How long a read of the rarely written topic of crashes waits for new records. */
  private static final long CRASH_READ_WAIT_MILLIS = 2_000;

  /**
   * How long an instance that starts waits for the convictions, and for the declaration of the
   * versions at which streams may begin, before it reports ready.
   */
  private static final long INITIAL_CALLS_TIMEOUT_NANOS = 1_500_000_000L;

  private static final long TICK_INTERVAL_MILLIS = 50;

  /** How late the event loop must be for a line in the log; a fraction of a caller's patience. */
  private static final long LOGGED_LOOP_DELAY_MILLIS = 100;

  private static final long HEARTBEAT_INTERVAL_MILLIS = 5_000;

  private static final long LINK_REPORT_INTERVAL_MILLIS = 1_000;

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
  private final LoopDelay loopDelay = new LoopDelay(TICK_INTERVAL_MILLIS, System.nanoTime());
  private final LinkTraffic traffic = new LinkTraffic();
  private final RoundTripTime roundTrip = new RoundTripTime();
  private final LinkReport linkReport;
  private final LinkOverload linkOverload = new LinkOverload(System.nanoTime());
  private final Optional<LinkUtilization> linkUtilization;
  private final KeyedLog store;
  private final LoanClient loanClient;
  private final DemandSender demandSender;
  private final OriginClient originClient;
  private final ClaimClient claimClient;
  private final ShareRoster roster = new ShareRoster();
  private final LimitShares limitShares;
  private final PeerDemand peerDemand = new PeerDemand();
  private final Fleet fleet;
  private final ConfigurationFeed configurationFeed;
  private final ConvictionFeed convictionFeed;
  private final ProxyServer proxyServer;
  private final Drain drain;
  private final StoreAvailability availability = new StoreAvailability();
  private int fleetSize = FleetMembers.ASSUMED_SIZE;
  private long era;
  private long startNanos;
  private boolean peerDemandKnown;
  private boolean entitled;

  private EdgeDaemon(EdgeSettings settings, String incarnation, String boot, EventLog log) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.boot = boot;
    this.log = log;
    this.linkReport = new LinkReport(traffic, log);
    this.linkUtilization =
        settings.linkMegabits().isPresent()
            ? Optional.of(
                new LinkUtilization(
                    traffic, settings.linkMegabits().getAsDouble(), System.nanoTime()))
            : Optional.empty();
    this.timer = new LoopTimer(loop, log);
    this.store =
        new PlatformStore(
            new AsyncHttpClient(
                loop,
                settings.store(),
                traffic.meter(LinkTraffic.Purpose.STORE),
                this::onDeadStoreConnection),
            this::onForeignStoreAnswer);
    this.loanClient = new LoanClient(loop, traffic, new Random());
    this.originClient = new OriginClient(loop, traffic);
    this.claimClient = new ClaimClient(loop, traffic, settings.instance());
    FleetClock fleetClock = new FleetClock(settings.instance(), EdgeDaemon::wallOffsetMillis);
    this.demandSender =
        new DemandSender(
            loop,
            traffic,
            settings.instance(),
            (other, wallMillis, sentNanos, receivedNanos) -> {
              fleetClock.onResponse(other, wallMillis, sentNanos, receivedNanos);
              roundTrip.onResponse(other, sentNanos, receivedNanos);
            });
    long startNanos = System.nanoTime();
    SpendControl spend =
        new SpendControl(
            incarnation,
            new MachineClock(boot, wallOffsetMillis()),
            settings.callers().getAddress().getHostAddress(),
            fleetClock,
            startNanos,
            new KeyedLedger(store, LEDGER_TOPIC, this::onMalformedLedgerRecord),
            new KeyedUsage(store, USAGE_TOPIC, settings.instance(), settings.storePartitions()),
            settings.storePartitions(),
            new ClaimPolicy(OUTAGE_COVERAGE_SECONDS, fleetSize),
            loanClient,
            claimClient,
            new SpendEventLogger(log, metrics));
    this.limitShares = new LimitShares(settings.instance(), System::currentTimeMillis, roster);
    this.fleet =
        new Fleet(
            loop,
            new PlatformHeaders(),
            new ReplicaDirectory(settings.leaseTerms()),
            new ReplicaPicker(settings.zone(), limitShares, peerDemand, new Random()),
            spend,
            newStreamContinuity(),
            newCrashControl(),
            this::newRetryAllowance,
            new PlacementRules(settings.places()),
            settings.coldStart(),
            newBuffers(),
            new ConnectionEvents(log, metrics),
            traffic);
    metrics.registry().gauge("cold_replicas", () -> fleet::coldReplicas);
    this.configurationFeed =
        new ConfigurationFeed(fleet, log, this::onStoreOutcome, this::onStoreOverdue);
    this.convictionFeed = new ConvictionFeed(fleet.crashes(), settings.instance(), log);
    this.proxyServer = new ProxyServer(loop, fleet, log, metrics, loopDelay);
    this.drain = new Drain(settings.graceSeconds(), fleet, proxyServer, log);
  }

  /**
   * Creates a daemon, which does not run until {@link #start} is called.
   *
   * @param incarnation a unique identifier of this start of the instance, never used again
   * @param boot the identifier of the machine's current boot; empty if unknown
   */
  public static EdgeDaemon of(
      EdgeSettings settings, String incarnation, String boot, EventLog log) {
    return new EdgeDaemon(settings, incarnation, boot, log);
  }

  private static long wallOffsetMillis() {
    return System.currentTimeMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Opens the listeners and starts to serve callers. */
  public void start() {
    log.start();
    startNanos = System.nanoTime();
    log.log(
        "start",
        "instance",
        settings.instance(),
        "incarnation",
        incarnation,
        "boot",
        boot,
        "monotonic_ms",
        TimeUnit.NANOSECONDS.toMillis(startNanos),
        "wall_ms",
        System.currentTimeMillis());
    new OperationsServer(loop, this::readiness).start(settings.readiness());
    new OperationsServer(loop, this::metricsText).start(settings.metrics());
    new PeerServer(loop, traffic, fleet.spend(), fleet.streams(), this::onPeerDemand, log)
        .start(settings.loans());
    registerGauges();
    proxyServer.start(settings.callers());
    loop.execute(this::startWatches);
    timer.every(this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS);
    timer.after(this::tellDemand, demandSender.intervalMillis());
    timer.every(this::reportLink, LINK_REPORT_INTERVAL_MILLIS, LINK_REPORT_INTERVAL_MILLIS);
  }

  private void reportLink() {
    linkReport.write(roundTrip.shortestMillis(System.nanoTime()));
  }

  /**
   * Drains and stops: finishes open requests and returns unused tokens to the ledger. Blocks for at
   * most the grace period of the settings.
   */
  public void stop() {
    // The grace period runs from now, however late the event loop is.
    long beginNanos = System.nanoTime();
    loop.execute(() -> drain.begin(beginNanos));
    try {
      drain.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    log.log("stop", "instance", settings.instance(), "open_requests", proxyServer.openRequests());
    log.stop();
  }

  /** Returns the event loop, which a test can keep busy. */
  EventLoop loop() {
    return loop;
  }

  /** Stops at once without draining, as if the process were killed. */
  void halt() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    log.stop();
  }

  /**
   * Logs whether the settings file has changed. Changed settings take effect only at the next
   * start.
   *
   * @param changed the settings as they are in the file now
   */
  public void reload(EdgeSettings changed) {
    log.log("reload", "instance", settings.instance(), "same", changed.equals(settings));
  }

  private void startWatches() {
    new TopicWatch(
            store,
            PlatformTopics.CONFIGURATION,
            READ_WAIT_MILLIS,
            0,
            TopicWatch.Backlog.READ_NEWEST,
            timer,
            configurationFeed)
        .start();
    new TopicWatch(
            store,
            PlatformTopics.REPLICAS,
            REPLICA_READ_WAIT_MILLIS,
            REPLICA_READ_PAUSE_MILLIS,
            TopicWatch.Backlog.READ_NEWEST,
            timer,
            new ReplicaFeed(fleet, log, this::onStoreOutcome, this::onStoreOverdue, timer::now))
        .start();
    new TopicWatch(
            store,
            CRASH_TOPIC,
            CRASH_READ_WAIT_MILLIS,
            0,
            TopicWatch.Backlog.READ_ALL,
            timer,
            convictionFeed)
        .start();
    FleetMembers members =
        new FleetMembers(store, settings.instance(), settings.loans(), roster, this::onMembers);
    timer.every(() -> members.sendHeartbeat(incarnation), 0, HEARTBEAT_INTERVAL_MILLIS);
  }

  private void tick() {
    long nowNanos = System.nanoTime();
    recordLoopDelay(loopDelay.onTick(nowNanos));
    updateLinkOverload(nowNanos);
    fleet.spend().tick(nowNanos);
    fleet.streams().tick(fleet.directory().replicas(), nowNanos);
    fleet.crashes().tick(nowNanos);
    configurationFeed.tick(nowNanos);
    logEntitlement(nowNanos);
    proxyServer.closeTimedOut();
    fleet.closeStaleConnections();
    for (Replica expired : fleet.directory().removeMissing(timer.now())) {
      fleet.forget(expired.id());
      log.log("replica_gone", "replica", expired.id(), "reason", "entry was not restored in time");
    }
    drain.tick(nowNanos);
  }

  private void updateLinkOverload(long nowNanos) {
    long roundTripMillis = roundTrip.shortestMillis(nowNanos);
    double utilization = linkUtilization.map(link -> link.share(nowNanos)).orElse(0.0);
    if (linkOverload.update(roundTripMillis, utilization, nowNanos)) {
      log.log(
          "link_overload",
          "overloaded",
          linkOverload.isOverloaded(),
          "round_trip_ms",
          roundTripMillis,
          "utilization",
          String.format(Locale.ROOT, "%.2f", utilization));
      metrics.count(linkOverload.isOverloaded() ? "link_overloaded" : "link_free");
    }
    fleet.setOverloaded(linkOverload.isOverloaded());
    proxyServer.setRerouted(linkOverload.isRerouted(nowNanos));
  }

  private void recordLoopDelay(long delayMillis) {
    metrics.loopDelay(delayMillis);
    if (delayMillis >= LOGGED_LOOP_DELAY_MILLIS) {
      log.log("loop_delayed", "delay_ms", delayMillis, "open_requests", proxyServer.openRequests());
    }
  }

  private void logEntitlement(long nowNanos) {
    if (roster.isEntitled(nowNanos) != entitled) {
      entitled = !entitled;
      log.log("share_of_bounds", "entitled", entitled, "instances", roster.members().size());
    }
  }

  private void tellDemand() {
    timer.after(this::tellDemand, demandSender.intervalMillis());
    long nowNanos = System.nanoTime();
    peerDemand.expire(nowNanos);
    demandSender.send(fleet.takeDemandReport(settings.instance()), nowNanos);
    if (peerDemand.isKnown() != peerDemandKnown) {
      peerDemandKnown = peerDemand.isKnown();
      log.log("peer_demand", "known", peerDemandKnown, "reporters", peerDemand.reporters());
    }
  }

  private void onPeerDemand(DemandReport report) {
    peerDemand.onReport(report, System.nanoTime());
    fleet.onReportOfPeer(report);
  }

  private void onMalformedLedgerRecord(String key) {
    log.log("ledger_record_refused", "customer", key, "taken_for", "all tokens are claimed");
  }

  private StreamContinuity newStreamContinuity() {
    OriginEventLogger events = new OriginEventLogger(log, metrics);
    return new StreamContinuity(
        new KeyedOrigins(
            store,
            ORIGIN_TOPIC,
            ORIGIN_DECLARATION_TOPIC,
            settings.instance(),
            incarnation,
            events::onMalformed),
        originClient,
        settings.instance(),
        incarnation,
        System::currentTimeMillis,
        () -> fleetSize,
        events);
  }

  private CrashControl newCrashControl() {
    return new CrashControl(
        new KeyedConvictions(store, CRASH_TOPIC, settings.instance()),
        settings.instance() + "/" + incarnation,
        System::currentTimeMillis,
        () -> fleetSize,
        new CrashEventLogger(log, metrics, () -> loop.execute(proxyServer::refuseConvicted)));
  }

  private void registerGauges() {
    Buffers buffers = fleet.buffers();
    metrics.gauge("held_response_bytes", buffers.responses()::heldBytes);
    metrics.gauge("held_request_bytes", buffers.requests()::heldBytes);
    metrics.gauge("stopped_responses", buffers.responses()::stoppedResponses);
    metrics.gauge("unwritten_body_bytes", buffers.bodies()::totalUnwrittenBytes);
    metrics.gauge("replica_body_bytes_most", buffers.bodies()::mostUnansweredBytes);
  }

  private Buffers newBuffers() {
    long heapBytes = Runtime.getRuntime().maxMemory();
    OptionalInt memory = settings.memoryMegabytes();
    return Buffers.of(
        memory.isPresent()
            ? BufferBounds.of(memory.getAsInt(), heapBytes)
            : BufferBounds.UNLIMITED);
  }

  private RetryAllowance newRetryAllowance() {
    return new RetryAllowance(
        settings.retryRatio(),
        () -> settings.retrySlack() / fleetSize,
        (long) (settings.retryWindowSeconds() * NANOS_PER_SECOND));
  }

  private void onMembers(int size, Map<String, InetSocketAddress> others) {
    CustomerHolders holders = new CustomerHolders(settings.instance(), others.keySet());
    loanClient.updatePeers(others, holders);
    demandSender.updatePeers(others);
    originClient.updatePeers(others);
    claimClient.updatePeers(others);
    peerDemand.changeOthers(others.size());
    limitShares.changeMembers(others.keySet());
    limitShares.refreshRoster();
    if (size != fleetSize) {
      log.log("fleet_size", "before", fleetSize, "now", size);
      fleetSize = size;
      if (!drain.isBegun()) {
        fleet.spend().changePolicy(new ClaimPolicy(OUTAGE_COVERAGE_SECONDS, size));
      }
    }
    fleet.spend().changeHolders(holders);
  }

  private OperationsServer.TextResponse readiness() {
    boolean initialized =
        (convictionFeed.isListed() && fleet.streams().isDeclared())
            || System.nanoTime() - startNanos > INITIAL_CALLS_TIMEOUT_NANOS;
    boolean ready =
        !drain.isBegun()
            && initialized
            && !linkOverload.isOverloaded()
            && fleet.configuration().isPresent()
            && fleet.directory().size() > 0;
    return new OperationsServer.TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }

  private OperationsServer.TextResponse metricsText() {
    return new OperationsServer.TextResponse(200, MetricsText.of(metrics.registry()));
  }

  private void onDeadStoreConnection() {
    log.log("store_connection_dead", "store_available", availability.isAvailable());
    metrics.count("store_connection_dead");
  }

  private void onForeignStoreAnswer(String partition) {
    log.log("store_answer_foreign", "partition", partition);
    metrics.count("store_answer_foreign");
  }

  private void onStoreReverted() {
    fleet.directory().onRegistryReverted(timer.now());
    if (store.era() != era) {
      log.log("store_reverted", "era", store.era(), "before", era);
      metrics.count("store_reverted");
    }
  }

  /** A first try that is not answered says only that its connection may be dead. */
  private void onStoreOverdue(int tries) {
    if (tries > 1) {
      onStoreOutcome(StoreOutcome.UNKNOWN);
    }
  }

  private void onStoreOutcome(StoreOutcome outcome) {
    if (outcome == StoreOutcome.REVERTED) {
      onStoreReverted();
    }
    era = store.era();
    boolean availableBefore = availability.isAvailable();
    boolean available = availability.onOutcome(outcome, System.nanoTime());
    if (available != availableBefore) {
      fleet.setStoreAvailable(available);
      log.log(available ? "store_regained" : "store_lost", "answer", outcome);
    }
  }
}

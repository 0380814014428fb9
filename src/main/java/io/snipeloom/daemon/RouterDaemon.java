package io.snipeloom.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.client.ClientTimeouts;
import io.snipeloom.client.HttpInstanceList;
import io.snipeloom.client.HttpLogService;
import io.snipeloom.client.Instance;
import io.snipeloom.coordination.BudgetHolder;
import io.snipeloom.coordination.CallResolver;
import io.snipeloom.coordination.CallerRequest;
import io.snipeloom.coordination.FleetAdministration;
import io.snipeloom.coordination.FleetMembership;
import io.snipeloom.coordination.HolderCloser;
import io.snipeloom.coordination.LedgerTail;
import io.snipeloom.coordination.LogConfigurationAuthority;
import io.snipeloom.coordination.LogReplica;
import io.snipeloom.coordination.LogWriter;
import io.snipeloom.coordination.LogWriterSettings;
import io.snipeloom.coordination.OpenAttempts;
import io.snipeloom.coordination.PrefixIndex;
import io.snipeloom.coordination.RequestRouter;
import io.snipeloom.coordination.RouterContext;
import io.snipeloom.coordination.RouterStatus;
import io.snipeloom.coordination.RoutingPolicy;
import io.snipeloom.coordination.SnapshotSchedule;
import io.snipeloom.coordination.SnapshotWriter;
import io.snipeloom.coordination.UpstreamPool;
import io.snipeloom.coordination.UpstreamPools;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.Customer;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.ModelId;
import io.snipeloom.state.SpendPolicy;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.transport.FrameClient;
import io.snipeloom.transport.FrameSettings;
import io.snipeloom.transport.HttpHost;
import io.snipeloom.transport.HttpLimits;
import io.snipeloom.transport.OperationsController;
import io.snipeloom.transport.SharedKey;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * An entry instance, which accepts requests of callers and forwards them to sidecars.
 *
 * <p>Can be started and stopped only once. When stopped, it rejects new requests, waits for the
 * open ones, returns unspent claimed tokens and only then closes its connections.
 */
public final class RouterDaemon {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int TCP_THREADS = 2;
  private static final int SCHEDULER_THREADS = 2;
  private static final Duration CLAIM_PERIOD = Duration.ofMillis(200);
  private static final Duration CLOSE_PERIOD = Duration.ofSeconds(1);
  private static final Duration SNAPSHOT_PERIOD = Duration.ofSeconds(1);
  private static final int MAX_PREFIX_ENTRIES = 100_000;

  private final RouterSettings settings;
  private final Incarnation self;
  private final MetricRegistry metrics = new MetricRegistry();
  private final LongSupplier nanoClock = System::nanoTime;
  private final InstantSource clock = InstantSource.system();
  private final RandomGenerator random = new ThreadSafeRandom();
  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(SCHEDULER_THREADS);
  private final HttpLogService log;
  private final HttpInstanceList instanceList;
  private final LogReplica replica;
  private final LogWriter writer;
  private final LogConfigurationAuthority authority;
  private final OpenAttempts openAttempts;
  private final BudgetHolder holder;
  private final SnapshotWriter snapshots;
  private final FrameClient frames;
  private final FleetMembership membership;
  private final HolderCloser closer;
  private final UpstreamPools pools;
  private final RequestRouter router;
  private final HttpHost callers;
  private final HttpHost admin;
  private final HttpHost operations;

  private RouterDaemon(RouterSettings settings) {
    this.settings = settings;
    this.self = Incarnations.generate(settings.instance());
    this.log = settings.log().open();
    this.instanceList =
        HttpInstanceList.of(URI.create(settings.instanceList()), ClientTimeouts.standard());
    this.replica = new LogReplica(settings.log().stream(), log, nanoClock, metrics);
    this.writer =
        new LogWriter(
            settings.log().stream(),
            self,
            log,
            replica,
            LogWriterSettings.standard(),
            nanoClock,
            metrics);
    this.authority = new LogConfigurationAuthority(replica, writer);
    this.openAttempts = new OpenAttempts(self, writer);
    this.holder = BudgetHolder.create(self, this::policy, writer, nanoClock, metrics);
    this.snapshots =
        new SnapshotWriter(replica, writer, SnapshotSchedule.standard(), nanoClock, random);
    this.frames =
        FrameClient.of(
            self, FrameSettings.of(SharedKey.of(settings.sharedKey())), TCP_THREADS, metrics);
    this.membership = createMembership();
    this.closer = new HolderCloser(self, replica, writer, membership::routers, nanoClock);
    this.pools =
        new UpstreamPools(
            this::routingPolicy,
            () -> PrefixIndex.of(MAX_PREFIX_ENTRIES, nanoClock),
            membership,
            nanoClock,
            metrics);
    this.router = createRouter();
    this.callers = createCallerHost();
    this.admin = createAdminHost();
    this.operations = createOperationsHost();
  }

  /** Creates a router, which must still be started. */
  public static RouterDaemon of(RouterSettings settings) {
    return new RouterDaemon(settings);
  }

  /** Starts reading the log, connects to the sidecars and listens for requests. */
  public void start() {
    replica.addListener(authority);
    replica.addListener(holder::onEvent);
    replica.addListener(openAttempts);
    replica.addWriter(writer);
    replica.start();
    writer.start();
    membership.start();
    pools.start(scheduler);
    scheduleRepeatedly(holder::step, CLAIM_PERIOD);
    scheduleRepeatedly(snapshots::step, SNAPSHOT_PERIOD);
    scheduleRepeatedly(closer::step, CLOSE_PERIOD);
    callers.start();
    admin.start();
    operations.start();
    LOG.atInfo().log(
        "event=router_started instance=%s incarnation=%s zone=%s port=%d",
        settings.instance(), self, settings.zone(), callers.port());
  }

  private void scheduleRepeatedly(Runnable step, Duration period) {
    ScheduledFuture<?> unused =
        scheduler.scheduleWithFixedDelay(
            step, period.toMillis(), period.toMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Registers a listener that is called when the router cannot continue and its process must be
   * restarted. This is the case when its log replica has failed or when its budget holder is
   * closed, usually by another instance.
   *
   * @param listener the listener, which may be called more than once
   */
  public void onFailure(Runnable listener) {
    replica.onFailure(error -> listener.run());
    replica.addListener(event -> onHolderClosed(event, listener));
  }

  private void onHolderClosed(DecisionEvent event, Runnable listener) {
    if (event instanceof DecisionEvent.HolderClosed closed && closed.holder().equals(self)) {
      LOG.atWarning().log("event=holder_closed_by_others incarnation=%s", self);
      listener.run();
    }
  }

  /**
   * Waits for the open requests and then for pending log records, each for at most the configured
   * time, and closes all connections.
   */
  public void stop() {
    Duration timeout = Duration.ofSeconds(settings.drainSeconds());
    boolean drained = router.drain(timeout);
    holder.stop();
    if (holder.isDrained()) {
      writer.append(List.of(new DecisionRecord.HolderClosed(self)));
    }
    boolean written = writer.stop(timeout);
    LOG.atInfo().log(
        "event=router_stopped incarnation=%s drained=%b written=%b", self, drained, written);
    callers.stop();
    admin.stop();
    operations.stop();
    membership.stop();
    frames.stop();
    replica.stop();
    scheduler.shutdownNow();
    log.stop();
    instanceList.stop();
  }

  /** Returns the TCP port on which callers are served. */
  public int callerPort() {
    return callers.port();
  }

  private FleetMembership createMembership() {
    Instance own =
        new Instance(
            settings.instance(),
            Instance.Role.ROUTER,
            settings.zone(),
            null,
            settings.callers().address(),
            settings.callers().port(),
            false);
    return FleetMembership.of(
        own,
        instanceList,
        new TcpLinkFactory(frames, nanoClock, random, metrics),
        this::models,
        nanoClock,
        random,
        metrics);
  }

  private SpendPolicy policy(BudgetId budget) {
    ConfigurationDocument document = authority.current();
    return document
        .budget(budget)
        .flatMap(found -> document.customer(found.customer()))
        .map(Customer::policy)
        .orElse(SpendPolicy.TIGHT);
  }

  private RoutingPolicy routingPolicy(UpstreamId upstream) {
    return authority
        .current()
        .upstream(upstream)
        .map(found -> RoutingPolicy.forKind(found.kind()))
        .orElse(RoutingPolicy.LEAST_IN_FLIGHT);
  }

  private Set<ModelId> models(UpstreamId upstream) {
    return authority
        .current()
        .upstream(upstream)
        .map(found -> Set.copyOf(found.models()))
        .orElse(Set.of());
  }

  private RequestRouter createRouter() {
    Function<CallerRequest, UpstreamPool> find =
        request -> pools.pool(request.requestClass().upstream());
    return new RequestRouter(
        new RouterContext(
            self,
            settings.zone(),
            replica,
            writer,
            holder,
            openAttempts,
            new CallResolver(replica, writer, find),
            find,
            scheduler,
            nanoClock,
            random,
            metrics,
            new AtomicLong()));
  }

  private HttpHost createCallerHost() {
    return HttpHost.of(
        CallerController.SURFACE,
        settings.callers().address(),
        settings.callers().port(),
        HttpLimits.standard(),
        router,
        new RequestReader(authority::current, clock, nanoClock),
        new CallerQueries(replica, clock));
  }

  private HttpHost createAdminHost() {
    FleetAdministration administration = new FleetAdministration(replica, writer);
    return HttpHost.of(
        Administration.SURFACE,
        settings.admin().address(),
        settings.admin().port(),
        HttpLimits.standard(),
        new Administration(
            authority,
            administration,
            LedgerTail.following(replica),
            new RouterStatus(self, settings.zone(), replica, membership, nanoClock),
            administration,
            settings.operatorTokens()),
        settings.consoleSecurity(clock));
  }

  private HttpHost createOperationsHost() {
    return HttpHost.of(
        OperationsController.SURFACE,
        settings.operations().address(),
        settings.operations().port(),
        HttpLimits.standard(),
        metrics,
        new RouterReadiness(replica, router::isDraining));
  }
}

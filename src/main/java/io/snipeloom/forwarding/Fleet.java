package io.snipeloom.forwarding;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.snipeloom.admission.AdmissionControl;
import io.snipeloom.buffering.Buffers;
import io.snipeloom.cost.RequestCost;
import io.snipeloom.crashes.CrashControl;
import io.snipeloom.resumption.StreamContinuity;
import io.snipeloom.routing.AskedRequests;
import io.snipeloom.routing.ColdStart;
import io.snipeloom.routing.ColdStartBounds;
import io.snipeloom.routing.CustomerConfiguration;
import io.snipeloom.routing.DemandReport;
import io.snipeloom.routing.EngineTraits;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.routing.FleetCosts;
import io.snipeloom.routing.ObservedWork;
import io.snipeloom.routing.PlacementRules;
import io.snipeloom.routing.Prompt;
import io.snipeloom.routing.PromptPart;
import io.snipeloom.routing.Replica;
import io.snipeloom.routing.ReplicaDemand;
import io.snipeloom.routing.ReplicaDirectory;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaPicker;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.routing.RequestMetadata;
import io.snipeloom.routing.RetryAllowance;
import io.snipeloom.routing.SentPrompt;
import io.snipeloom.routing.ServiceConfiguration;
import io.snipeloom.spend.SpendControl;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.telemetry.LinkTraffic;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;

/**
 * The state that this instance keeps: the configuration, the known replicas with their observed
 * load and health, and the prepaid tokens. Confined to the event loop thread.
 */
public final class Fleet {
  /** Prompts with fewer shared tokens cost a replica so little that nobody is told of them. */
  private static final long MIN_TOLD_TOKENS = 1_024;

  /** The most prompts in a report, which bounds its size; further ones are not told. */
  private static final int MAX_TOLD_PROMPTS = 256;

  /** The most kinds and customers in a report. */
  private static final int MAX_TOLD_CUSTOMERS = 256;

  private final EventLoop loop;
  private final HeaderCodec codec;
  private final ReplicaPicker picker;
  private final ReplicaDirectory directory;
  private final SpendControl spend;
  private final StreamContinuity streams;
  private final CrashControl crashes;
  private final Supplier<RetryAllowance> newRetryAllowance;
  private final PlacementRules placement;
  private final Optional<ColdStartBounds> coldStartBounds;
  private final Buffers buffers;
  private final ConnectionEvents connectionEvents;
  private final LinkTraffic traffic;
  private final Map<ReplicaId, ReplicaView> views = new HashMap<>();
  private final DepartedReplicas departed = new DepartedReplicas();
  private final Map<InetSocketAddress, ConnectionPool> pools = new HashMap<>();
  private final Map<String, RetryAllowance> retryAllowances = new HashMap<>();
  private final List<SentPrompt> sentPrompts = new ArrayList<>();
  private final AdmissionControl admission = new AdmissionControl(new Random());
  private final Map<AskedRequests, Integer> asked = new HashMap<>();

  /** By service, as last configured: streams that run go on after their service has left. */
  private final Map<String, Integer> tokensPerEvent = new HashMap<>();

  private FleetConfiguration configuration;
  private boolean storeAvailable = true;
  private boolean overloaded;
  private final ShutdownAdmission shutdown = new ShutdownAdmission();

  /**
   * Creates a fleet without configuration and replicas.
   *
   * @param loop the event loop that all connections use
   * @param codec encodes and decodes headers
   * @param picker chooses the replica for a request
   * @param spend controls the use of prepaid tokens
   * @param streams knows what began the streams that callers resume
   * @param crashes decides which requests are refused because requests like them crash replicas
   * @param newRetryAllowance creates the retry allowance of a service
   * @param placement where requests may be processed
   * @param coldStartBounds the bounds on requests to cold replicas, if any are in force
   * @param buffers counts the bytes held for callers and replicas
   * @param connectionEvents records what happens on connections to replicas
   * @param traffic counts the bytes of the connections
   */
  public Fleet(
      EventLoop loop,
      HeaderCodec codec,
      ReplicaDirectory directory,
      ReplicaPicker picker,
      SpendControl spend,
      StreamContinuity streams,
      CrashControl crashes,
      Supplier<RetryAllowance> newRetryAllowance,
      PlacementRules placement,
      Optional<ColdStartBounds> coldStartBounds,
      Buffers buffers,
      ConnectionEvents connectionEvents,
      LinkTraffic traffic) {
    this.loop = loop;
    this.codec = codec;
    this.directory = directory;
    this.picker = picker;
    this.spend = spend;
    this.streams = streams;
    this.crashes = crashes;
    this.newRetryAllowance = newRetryAllowance;
    this.placement = placement;
    this.coldStartBounds = coldStartBounds;
    this.buffers = buffers;
    this.connectionEvents = connectionEvents;
    this.traffic = traffic;
  }

  /**
   * Applies a configuration unless it is older than the current one.
   *
   * @param newer the configuration
   * @return true if it was applied; false if its version is not higher than the current one
   */
  public boolean apply(FleetConfiguration newer) {
    if (configuration != null && newer.version() <= configuration.version()) {
      return false;
    }
    configuration = newer;
    streams.onRoutes(newer.servicesOfResumableStreams(), System.nanoTime());
    views.values().forEach(view -> view.limit().changeColdStart(coldStartOf(view.replica())));
    views.replaceAll((id, view) -> view.with(traitsOf(view.replica())));
    for (ServiceConfiguration service : newer.services()) {
      service
          .engine()
          .ifPresent(engine -> tokensPerEvent.put(service.name(), engine.tokensPerEvent()));
    }
    for (CustomerConfiguration customer : newer.customers()) {
      customer.prepaidTokens().ifPresent(tokens -> spend.changeLimit(customer.id(), tokens));
    }
    return true;
  }

  /**
   * Returns the current configuration.
   *
   * @return the configuration, empty if none has been applied yet
   */
  public Optional<FleetConfiguration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /** Returns the directory of replicas. */
  public ReplicaDirectory directory() {
    return directory;
  }

  /**
   * Adds or updates a replica. A restarted replica starts with no observed load and health. One
   * whose entry was away for a while goes on with what is known of it.
   *
   * @param replica the registry entry of the replica
   * @param appeared whether the entry has appeared while this instance followed the registry;
   *     otherwise a new replica may have been there for long
   * @return true if the replica is new, was restarted or changed its state
   */
  public boolean put(Replica replica, boolean appeared) {
    long nowNanos = System.nanoTime();
    streams.onReplica(replica, nowNanos);
    Replica previous = directory.put(replica);
    final boolean restarted = previous == null || !previous.isSameIncarnation(replica);
    ReplicaView view = views.get(replica.id());
    if (view == null || !view.replica().isSameIncarnation(replica)) {
      view = departed.take(replica).orElseGet(() -> ReplicaView.of(replica, traitsOf(replica)));
      view.limit().warmUp().onFirstEntry(replica, appeared, nowNanos);
      closePool(replica.address());
    } else {
      view.limit().warmUp().onEntry(replica, nowNanos);
    }
    view.limit().changeColdStart(coldStartOf(replica));
    views.put(replica.id(), view.with(replica));
    return restarted || previous.state() != replica.state();
  }

  /**
   * Takes a replica whose entry has gone out of use and closes its idle connections.
   *
   * @param id the replica
   */
  public void forget(ReplicaId id) {
    ReplicaView view = views.remove(id);
    if (view != null) {
      if (view.isRestrained(System.nanoTime())) {
        departed.add(view);
      }
      closePool(view.replica().address());
    }
  }

  /** Returns what this instance knows of the streams that callers resume. */
  public StreamContinuity streams() {
    return streams;
  }

  /** Returns what decides which requests are refused because requests like them crash replicas. */
  public CrashControl crashes() {
    return crashes;
  }

  /** Returns the control of prepaid tokens. */
  public SpendControl spend() {
    return spend;
  }

  /**
   * Sets whether the store is available. While it is not, reservations do not wait for tokens to be
   * claimed.
   *
   * @param available whether the store is available
   */
  public void setStoreAvailable(boolean available) {
    storeAvailable = available;
    spend.setStoreAvailable(available);
  }

  boolean isStoreAvailable() {
    return storeAvailable;
  }

  /**
   * Records that this instance shuts down.
   *
   * @param newCallersEndNanos until when new connections are accepted
   * @param endNanos the last moment at which an answer can be sent
   */
  public void beginShutdown(long newCallersEndNanos, long endNanos) {
    shutdown.begin(ShutdownDeadline.at(newCallersEndNanos, endNanos));
  }

  /** Returns what decides which requests are sent once this instance shuts down. */
  ShutdownAdmission shutdown() {
    return shutdown;
  }

  /** Records a prompt that was sent to a replica, of which the other instances are told. */
  void onPromptSent(ReplicaView view, Prompt prompt) {
    view.prefixCache().recordPrompt(prompt.parts());
    long sharedTokens = prompt.sharedParts().stream().mapToLong(PromptPart::tokens).sum();
    if (sharedTokens >= MIN_TOLD_TOKENS && sentPrompts.size() < MAX_TOLD_PROMPTS) {
      sentPrompts.add(new SentPrompt(view.replica().id(), prompt.sharedParts()));
    }
  }

  /**
   * Returns what the other instances are to be told of the requests of this one, and begins the
   * next report.
   *
   * @param instance the name of this instance
   */
  public DemandReport takeDemandReport(String instance) {
    List<ReplicaDemand> demands = new ArrayList<>();
    long nowNanos = System.nanoTime();
    for (ReplicaView view : views.values()) {
      int inFlight = view.load().inFlight();
      long pendingTokens = Math.max(0, view.load().pendingPrefillTokens());
      ObservedWork work = costs().takeObserved(view, nowNanos);
      if (inFlight > 0 || work.isObserved()) {
        demands.add(new ReplicaDemand(view.replica().id(), inFlight, pendingTokens, work));
      }
    }
    DemandReport report = new DemandReport(instance, demands, sentPrompts, takeAsked());
    sentPrompts.clear();
    return report;
  }

  /**
   * Records the prompts that another instance has sent to replicas, how these work, and what its
   * callers asked for.
   */
  public void onReportOfPeer(DemandReport report) {
    long nowNanos = System.nanoTime();
    for (ReplicaDemand demand : report.demands()) {
      ReplicaView view = views.get(demand.replica());
      if (view != null) {
        costs().onTold(view, demand.work(), nowNanos);
      }
    }
    for (AskedRequests one : report.asked()) {
      admission.onAskedElsewhere(one.kind(), one.customer().value(), one.requests(), nowNanos);
    }
    for (SentPrompt prompt : report.prompts()) {
      ReplicaView view = views.get(prompt.replica());
      if (view != null) {
        view.prefixCache().recordPrompt(prompt.parts());
      }
    }
  }

  /** Returns what decides under load which model requests are sent. */
  AdmissionControl admission() {
    return admission;
  }

  /** Counts a model request of a caller, of which the other instances are told. */
  void onAsked(String kind, CustomerId customer) {
    AskedRequests one = new AskedRequests(kind, customer, 1);
    if (asked.size() < MAX_TOLD_CUSTOMERS || asked.containsKey(one)) {
      asked.merge(one, 1, Integer::sum);
    }
  }

  private List<AskedRequests> takeAsked() {
    List<AskedRequests> taken = new ArrayList<>();
    asked.forEach((one, count) -> taken.add(new AskedRequests(one.kind(), one.customer(), count)));
    asked.clear();
    return taken;
  }

  /** Closes connections that have been idle for too long to be reused. */
  public void closeStaleConnections() {
    pools.values().forEach(ConnectionPool::closeStale);
  }

  /** Returns the bytes that are held for callers and replicas. */
  public Buffers buffers() {
    return buffers;
  }

  /** Returns the customer whose API key is in the headers, empty if there is none that is known. */
  Optional<CustomerId> customerOf(HttpHeaders headers) {
    return metadataOf(headers)
        .flatMap(RequestMetadata::apiKey)
        .flatMap(key -> configuration().flatMap(current -> current.customerOf(key)))
        .map(CustomerConfiguration::id);
  }

  /** Returns the attempt ID in the headers, empty if they have none. */
  String attemptIdOf(HttpHeaders headers) {
    return metadataOf(headers).map(RequestMetadata::attemptId).orElse("");
  }

  private Optional<RequestMetadata> metadataOf(HttpHeaders headers) {
    try {
      return Optional.of(codec.requestMetadata(headers));
    } catch (SnipeloomException e) {
      // The exchange decodes the headers again and tells the caller what is wrong with them.
      return Optional.empty();
    }
  }

  /** Returns what was learned of the cost of requests and of the pace of replicas. */
  public FleetCosts costs() {
    return picker.costs();
  }

  /** Returns what a request is likely to cost whichever replica runs it. */
  RequestCost costOf(RoutedRequest request) {
    return request
        .kind()
        .map(kind -> costs().estimator().estimate(kind))
        .orElse(new RequestCost(0, 0, 0));
  }

  HeaderCodec codec() {
    return codec;
  }

  ReplicaPicker picker() {
    return picker;
  }

  /** Returns the replicas of a service that accept requests, now or after a pause. */
  List<ReplicaView> availableReplicas(String service) {
    List<ReplicaView> available = new ArrayList<>();
    for (Replica replica : directory.availableReplicas(service)) {
      ReplicaView view = views.get(replica.id());
      boolean inService = view != null && placement.isInService(replica);
      if (inService && !view.willingness().isLeaving()) {
        available.add(view);
      }
    }
    return available;
  }

  /** Returns whether a replica that was chosen still takes requests. */
  boolean isAvailable(ReplicaView view) {
    return directory.isAvailable(view.replica())
        && placement.isInService(view.replica())
        && view.willingness().takesRequests(System.nanoTime());
  }

  /** Returns the replicas that have not been tried, or all of them if every one has been tried. */
  static List<ReplicaView> untried(List<ReplicaView> available, Collection<ReplicaId> tried) {
    List<ReplicaView> untried =
        available.stream().filter(view -> !tried.contains(view.replica().id())).toList();
    return untried.isEmpty() ? available : untried;
  }

  ConnectionPool connectionPool(Replica replica) {
    return pools.computeIfAbsent(
        replica.address(),
        address ->
            new ConnectionPool(
                loop,
                address,
                traffic.meter(LinkTraffic.Purpose.REPLICAS),
                connection -> codec.keepAliveMillis(connection.lastHeaders()),
                (connection, moment) -> connectionEvents.surplus(address, connection, moment)));
  }

  /**
   * Sets whether this instance is overloaded, so that others serve a request sooner, and a replica
   * that cannot be reached in time may be well.
   */
  public void setOverloaded(boolean overloaded) {
    this.overloaded = overloaded;
  }

  boolean isOverloaded() {
    return overloaded;
  }

  /** Returns the counters of the bytes of connections. */
  LinkTraffic traffic() {
    return traffic;
  }

  RetryAllowance retryAllowanceOf(String service) {
    return retryAllowances.computeIfAbsent(service, name -> newRetryAllowance.get());
  }

  int tokensPerEvent(String service) {
    return tokensPerEvent.getOrDefault(service, 1);
  }

  /** Returns where requests may be processed. */
  public PlacementRules placement() {
    return placement;
  }

  /**
   * Takes the replicas of an availability zone into service again, which may have become cold
   * unseen.
   *
   * @param zone the availability zone, which is no longer being evacuated
   * @return the number of replicas
   */
  public int onEvacuationEnded(String zone) {
    List<ReplicaView> returning =
        views.values().stream().filter(view -> view.replica().zone().equals(zone)).toList();
    returning.forEach(view -> view.limit().warmUp().onPossibleStart(System.nanoTime()));
    return returning.size();
  }

  /** Returns the number of replicas that count as cold. */
  public int coldReplicas() {
    long nowNanos = System.nanoTime();
    return (int)
        views.values().stream().filter(view -> view.limit().coldMillis(nowNanos) > 0).count();
  }

  private ColdStart coldStartOf(Replica replica) {
    ColdStart configured =
        Optional.ofNullable(configuration)
            .flatMap(current -> current.service(replica.service()))
            .map(ServiceConfiguration::coldStart)
            .orElse(ColdStart.NONE);
    return coldStartBounds.map(configured::with).orElse(configured);
  }

  private EngineTraits traitsOf(Replica replica) {
    return Optional.ofNullable(configuration)
        .flatMap(current -> current.service(replica.service()))
        .flatMap(ServiceConfiguration::engine)
        .orElse(null);
  }

  private void closePool(InetSocketAddress address) {
    ConnectionPool pool = pools.remove(address);
    if (pool != null) {
      pool.close();
    }
  }
}

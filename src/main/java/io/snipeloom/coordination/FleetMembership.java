package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.client.Instance;
import io.snipeloom.client.InstanceList;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.ModelId;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Maintains the links of a router to the sidecars assigned to it, and provides them as {@link
 * BackEnds}.
 *
 * <p>Thread-safe. After {@link #start} the instance list is polled on one thread and the links are
 * checked on another, so that a slow list does not delay the links. {@link #stop} closes the links.
 */
public final class FleetMembership {
  /** How often the instance list is polled. */
  static final Duration LIST_PERIOD = Duration.ofSeconds(2);

  /** How often the state of the links is checked. */
  static final Duration LINK_PERIOD = Duration.ofMillis(200);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Instance self;
  private final InstanceList list;
  private final SidecarLinkFactory factory;
  private final Function<UpstreamId, Set<ModelId>> models;
  private final LongSupplier nanoClock;
  private final RandomGenerator random;
  private final MetricRegistry metrics;
  private final FleetView view = new FleetView();
  private final Map<InstanceId, BackEnd> open = new HashMap<>();
  private final Map<InstanceId, PendingLink> pending = new HashMap<>();
  private final List<BackEnd> draining = new ArrayList<>();
  private volatile Map<UpstreamId, BackEnds> published = Map.of();
  private volatile Map<UpstreamId, Integer> routersPerSidecar = Map.of();
  private volatile boolean listFailing;
  private ScheduledExecutorService listScheduler;
  private ScheduledExecutorService linkScheduler;

  /** A link that is to be opened at a given time. */
  private record PendingLink(Instance instance, long dueNanos) {}

  private FleetMembership(
      Instance self,
      InstanceList list,
      SidecarLinkFactory factory,
      Function<UpstreamId, Set<ModelId>> models,
      LongSupplier nanoClock,
      RandomGenerator random,
      MetricRegistry metrics) {
    this.self = self;
    this.list = list;
    this.factory = factory;
    this.models = models;
    this.nanoClock = nanoClock;
    this.random = random;
    this.metrics = metrics;
    metrics.gauge("membership.links", () -> this::links);
    metrics.gauge("membership.draining", () -> this::drainingLinks);
    metrics.gauge("membership.doubted", () -> this::doubted);
  }

  /**
   * Returns a membership that is not yet started.
   *
   * @param self this router
   * @param list the instance list
   * @param factory opens and closes the links
   * @param models returns the models that an upstream serves; empty for a plain service
   * @param nanoClock a monotonic clock in nanoseconds
   * @param random the source of jitter
   * @param metrics the registry for the metrics of the membership
   */
  public static FleetMembership of(
      Instance self,
      InstanceList list,
      SidecarLinkFactory factory,
      Function<UpstreamId, Set<ModelId>> models,
      LongSupplier nanoClock,
      RandomGenerator random,
      MetricRegistry metrics) {
    return new FleetMembership(self, list, factory, models, nanoClock, random, metrics);
  }

  /** Starts polling the list and checking the links. */
  public synchronized void start() {
    listScheduler = newScheduler("membership-list");
    linkScheduler = newScheduler("membership-links");
    runPeriodically(listScheduler, this::pollList, LIST_PERIOD);
    runPeriodically(linkScheduler, this::observeLinks, LINK_PERIOD);
  }

  private void runPeriodically(ScheduledExecutorService scheduler, Runnable task, Duration period) {
    Runnable guarded =
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            metrics.meter("membership.failures").mark();
            logger.atSevere().withCause(e).log("event=membership.failed code=internal");
          }
        };
    Future<?> unused =
        scheduler.scheduleWithFixedDelay(guarded, 0, period.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Stops polling and closes every link. */
  public void stop() {
    ScheduledExecutorService listExecutor;
    ScheduledExecutorService linkExecutor;
    synchronized (this) {
      listExecutor = listScheduler;
      linkExecutor = linkScheduler;
    }
    if (listExecutor != null) {
      listExecutor.shutdownNow();
      linkExecutor.shutdownNow();
    }
    synchronized (this) {
      open.values().forEach(this::close);
      draining.forEach(this::close);
      open.clear();
      draining.clear();
      pending.clear();
      published = Map.of();
    }
  }

  /**
   * Returns the back ends of an upstream.
   *
   * @return the back ends that this router is connected to or connecting to
   */
  public BackEnds backEnds(UpstreamId upstream) {
    return published.getOrDefault(upstream, BackEnds.empty());
  }

  /**
   * Returns how many routers share a back end of an upstream, for {@link ConcurrencyLimit}.
   *
   * @return the number of routers, at least 1
   */
  public int routersPerSidecar(UpstreamId upstream) {
    return routersPerSidecar.getOrDefault(upstream, 1);
  }

  /** Returns the slots of the known routers; empty before the list was first read. */
  public synchronized Set<InstanceId> routers() {
    return view.instances(Instance.Role.ROUTER).stream()
        .map(Instance::id)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Polls the list once. */
  void pollList() {
    List<Instance> instances;
    try {
      instances = list.instances();
    } catch (SnipeloomException e) {
      metrics.meter("membership.listFailures").mark();
      if (!listFailing) {
        logger.atWarning().log("event=list.failed code=%s peer=%s", e.code().text(), e.peer());
      }
      listFailing = true;
      return;
    }
    synchronized (this) {
      long doubtedBefore = view.doubted();
      listFailing = false;
      view.onList(instances, nanoClock.getAsLong());
      if (view.doubted() > doubtedBefore) {
        logger.atWarning().log(
            "event=list.doubted listed=%d kept=%d", instances.size(), view.doubted());
      }
      reconcile();
    }
  }

  /**
   * Checks the state of every link once, opens the links that are due and closes those that have
   * drained.
   */
  synchronized void observeLinks() {
    long now = nanoClock.getAsLong();
    for (BackEnd backEnd : open.values()) {
      observe(backEnd, now);
    }
    forgetGone(now);
    openDue(now);
    closeDrained();
  }

  private void observe(BackEnd backEnd, long now) {
    SidecarLink link = backEnd.link();
    boolean connected = link.incarnation().isPresent();
    boolean leaving = connected && !link.isUsable();
    if (backEnd.detectReplacement()) {
      logger.atInfo().log("event=sidecar.replaced instance=%s", backEnd.id());
    }
    view.onLink(backEnd.id(), link.incarnation(), leaving, now);
    boolean withdraw = !view.takesNewWork(backEnd.id(), now);
    if (withdraw != backEnd.isWithdrawn()) {
      backEnd.setWithdrawn(withdraw);
      logger.atInfo().log("event=sidecar.newWork instance=%s takes=%b", backEnd.id(), !withdraw);
    }
  }

  private void forgetGone(long now) {
    Set<InstanceId> busy = new HashSet<>();
    open.forEach((id, backEnd) -> busy.addAll(backEnd.inFlight() > 0 ? Set.of(id) : Set.of()));
    if (!view.forgetGone(busy, now).isEmpty()) {
      reconcile();
    }
  }

  /** Opens and drains links so that they match the view. */
  private void reconcile() {
    List<Instance> routers = view.instances(Instance.Role.ROUTER);
    SubsetPlan plan = SubsetPlan.of(routers);
    Map<UpstreamId, List<Instance>> sidecars =
        view.instances(Instance.Role.SIDECAR).stream()
            .collect(Collectors.groupingBy(Instance::upstream));
    Map<InstanceId, Instance> wanted = new HashMap<>();
    Map<UpstreamId, Integer> newRoutersPerSidecar = new HashMap<>();
    sidecars.forEach(
        (upstream, members) -> {
          Set<InstanceId> chosen = plan.chosen(self, members);
          members.stream()
              .filter(member -> chosen.contains(member.id()))
              .forEach(member -> wanted.put(member.id(), member));
          int routerCount = Math.max(1, routers.size());
          newRoutersPerSidecar.put(
              upstream, SubsetPlan.routersPerSidecar(routerCount, members.size()));
        });
    routersPerSidecar = Map.copyOf(newRoutersPerSidecar);
    drainUnwanted(wanted);
    schedule(wanted);
    openDue(nanoClock.getAsLong());
    publish();
  }

  private void drainUnwanted(Map<InstanceId, Instance> wanted) {
    pending
        .values()
        .removeIf(entry -> !hasSameTarget(wanted.get(entry.instance().id()), entry.instance()));
    for (Iterator<BackEnd> present = open.values().iterator(); present.hasNext(); ) {
      BackEnd backEnd = present.next();
      if (!hasSameTarget(wanted.get(backEnd.id()), backEnd.link().instance())) {
        backEnd.setWithdrawn(true);
        draining.add(backEnd);
        present.remove();
      }
    }
  }

  private static boolean hasSameTarget(Instance wanted, Instance present) {
    return wanted != null
        && wanted.address().equals(present.address())
        && wanted.port() == present.port()
        && Objects.equals(wanted.upstream(), present.upstream());
  }

  private void schedule(Map<InstanceId, Instance> wanted) {
    Collection<Instance> missing =
        wanted.values().stream()
            .filter(i -> !open.containsKey(i.id()) && !pending.containsKey(i.id()))
            .toList();
    long now = nanoClock.getAsLong();
    for (Instance instance : missing) {
      long delay = ReconnectPacing.firstDelay(missing.size(), random).toNanos();
      pending.put(instance.id(), new PendingLink(instance, now + delay));
    }
  }

  private void openDue(long now) {
    boolean changed = false;
    for (Iterator<PendingLink> entries = pending.values().iterator(); entries.hasNext(); ) {
      PendingLink entry = entries.next();
      if (now - entry.dueNanos() >= 0) {
        entries.remove();
        openLink(entry.instance());
        changed = true;
      }
    }
    if (changed || updateModels()) {
      publish();
    }
  }

  private void openLink(Instance instance) {
    BackEnd backEnd = BackEnd.of(factory.open(instance), models.apply(instance.upstream()));
    open.put(instance.id(), backEnd);
    logger.atInfo().log("event=link.opened instance=%s zone=%s", instance.id(), instance.zone());
  }

  private boolean updateModels() {
    boolean changed = false;
    for (BackEnd backEnd : open.values()) {
      changed |= backEnd.updateModels(models.apply(backEnd.link().instance().upstream()));
    }
    return changed;
  }

  private void closeDrained() {
    for (Iterator<BackEnd> entries = draining.iterator(); entries.hasNext(); ) {
      BackEnd backEnd = entries.next();
      if (backEnd.inFlight() == 0) {
        entries.remove();
        close(backEnd);
      }
    }
  }

  private void close(BackEnd backEnd) {
    backEnd.setWithdrawn(true);
    factory.close(backEnd.link());
    logger.atInfo().log("event=link.closed instance=%s", backEnd.id());
  }

  private void publish() {
    Map<UpstreamId, List<BackEnd>> byUpstream =
        open.values().stream()
            .collect(Collectors.groupingBy(backEnd -> backEnd.link().instance().upstream()));
    Map<UpstreamId, BackEnds> next = new HashMap<>();
    byUpstream.forEach((upstream, members) -> next.put(upstream, BackEnds.of(members)));
    published = Map.copyOf(next);
  }

  private synchronized int links() {
    return open.size();
  }

  private synchronized int drainingLinks() {
    return draining.size();
  }

  private synchronized long doubted() {
    return view.doubted();
  }

  private static ScheduledExecutorService newScheduler(String name) {
    return Executors.newSingleThreadScheduledExecutor(
        task -> {
          Thread thread = new Thread(task, name);
          thread.setDaemon(true);
          return thread;
        });
  }
}

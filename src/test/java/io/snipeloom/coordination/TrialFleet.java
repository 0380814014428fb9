package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.state.ModelId;
import io.snipeloom.state.RunState;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Zone;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Simulates several routers in front of the replicas of one upstream, in virtual time. */
final class TrialFleet {
  private static final long LOAD_REPORT_PERIOD_NANOS = 500 * VirtualClock.MILLI;
  private static final long LOAD_REPORT_DELAY_NANOS = 150 * VirtualClock.MILLI;
  private static final long CACHE_EVENT_PERIOD_NANOS = 2 * VirtualClock.SECOND;
  private static final double CACHE_EVENT_LOSS_PROBABILITY = 0.2;
  private static final long FAILURE_DETECTION_NANOS = VirtualClock.SECOND;
  private static final long SAME_ZONE_LATENCY_NANOS = 300_000;
  private static final long CROSS_ZONE_LATENCY_NANOS = 900_000;
  private static final int QUEUE_CAPACITY = 4_000;

  final VirtualClock clock = new VirtualClock();
  final List<TrialReplica> replicas = new ArrayList<>();
  private final List<Router> routers = new ArrayList<>();
  private final List<Double> busyShares = new ArrayList<>();
  private final SplittableRandom random;
  private final TrialWorkload.Service service;

  TrialFleet(
      RoutingPolicy policy,
      TrialWorkload workload,
      TrialWorkload.Service service,
      int scale,
      int routerCount,
      long seed) {
    this.random = new SplittableRandom(seed);
    this.service = service;
    UpstreamId upstream = UpstreamId.of(service.name());
    for (int i = 0; i < service.replicas() * scale; i++) {
      var instance = FakeLink.sidecar(service.name() + i, "z" + i % workload.zones(), upstream);
      replicas.add(new TrialReplica(instance, service.capacity(), clock));
    }
    for (int i = 0; i < routerCount; i++) {
      routers.add(new Router(Zone.of("z" + i % workload.zones()), policy, routerCount));
    }
    clock.runEvery(LOAD_REPORT_PERIOD_NANOS, this::reportLoad);
    clock.runEvery(CACHE_EVENT_PERIOD_NANOS, this::publishCacheEvents);
    clock.runEvery(AdmissionQueue.SWEEP_PERIOD.toNanos(), () -> routers.forEach(Router::sweep));
  }

  /**
   * Returns the mean share of the slots that were busy. The first quarter of the samples is left
   * out as warm-up.
   */
  double busyShare() {
    return busyShares.subList(busyShares.size() / 4, busyShares.size()).stream()
        .mapToDouble(Double::doubleValue)
        .average()
        .orElse(0);
  }

  void scheduleArrival(TrialRequest request) {
    clock.runAfter(
        request.arrivalNanos - clock.getAsLong(),
        () -> routers.get(request.routerIndex).offer(request));
  }

  /**
   * Crashes replicas at one time and recovers them at another, both in nanoseconds from now. The
   * routers' links follow each change after {@link #FAILURE_DETECTION_NANOS}.
   */
  void outage(List<TrialReplica> affected, long from, long to) {
    for (TrialReplica replica : affected) {
      clock.runAfter(from, replica::crash);
      clock.runAfter(from + FAILURE_DETECTION_NANOS, () -> setConnected(replica, replica.up));
      clock.runAfter(to, replica::recover);
      clock.runAfter(to + FAILURE_DETECTION_NANOS, () -> setConnected(replica, replica.up));
    }
  }

  /** Takes every engine down while the sidecars in front of them stay connected. */
  void engineOutage(long from, long to) {
    for (TrialReplica replica : replicas) {
      clock.runAfter(from, replica::crash);
      clock.runAfter(to, replica::recover);
    }
  }

  private void setConnected(TrialReplica replica, boolean connected) {
    int index = replicas.indexOf(replica);
    for (Router router : routers) {
      FakeLink link = router.links.get(index);
      link.connected = connected;
      link.generation = replica.generation;
      router.backEnds.all().get(index).detectReplacement();
    }
  }

  private void reportLoad() {
    int running = replicas.stream().mapToInt(TrialReplica::running).sum();
    busyShares.add(running / (double) (replicas.size() * service.capacity()));
    for (int i = 0; i < replicas.size(); i++) {
      TrialReplica replica = replicas.get(i);
      int index = i;
      int runningAtReplica = replica.running();
      int queued = replica.queued();
      long sent = clock.getAsLong();
      clock.runAfter(
          LOAD_REPORT_DELAY_NANOS,
          () ->
              routers.forEach(
                  r ->
                      r.links
                          .get(index)
                          .setLoad(runningAtReplica, queued, replica.capacity, sent)));
    }
    routers.forEach(Router::updateLimit);
  }

  private void publishCacheEvents() {
    for (int i = 0; i < replicas.size(); i++) {
      boolean dropped = random.nextDouble() < CACHE_EVENT_LOSS_PROBABILITY;
      CacheEvent event = replicas.get(i).drainCacheEvent(false);
      CacheEvent delivered =
          dropped ? new CacheEvent(new long[0], new long[0], false, true) : event;
      int index = i;
      for (Router router : routers) {
        clock.runAfter(
            random.nextLong(CACHE_EVENT_PERIOD_NANOS),
            () -> router.picker.prefixes().apply(router.backEnds.all().get(index), delivered));
      }
    }
  }

  /** A router with its own links, picker and admission queue. */
  private final class Router {
    private final Zone zone;
    private final int routerCount;
    private final List<FakeLink> links = new ArrayList<>();
    private final BackEnds backEnds;
    private final BackEndPicker picker;
    private final AdmissionQueue admissionQueue;
    private final RetryBudget retryBudget = RetryBudget.of(clock);
    private final RetryPolicy retryPolicy = RetryPolicy.of(retryBudget);

    Router(Zone zone, RoutingPolicy policy, int routerCount) {
      this.zone = zone;
      this.routerCount = routerCount;
      List<BackEnd> members = new ArrayList<>();
      for (TrialReplica replica : replicas) {
        FakeLink link = new FakeLink(replica.instance, clock);
        link.setLoad(0, 0, replica.capacity, 0);
        links.add(link);
        members.add(BackEnd.of(link, Set.of(FakeLink.MODEL)));
      }
      backEnds = BackEnds.of(members);
      members.forEach(BackEnd::detectReplacement);
      picker = BackEndPicker.of(policy, PrefixIndex.of(1 << 15, clock), clock);
      UpstreamId upstream = UpstreamId.of(service.name());
      admissionQueue =
          AdmissionQueue.of(
              upstream,
              ConcurrencyLimit.of(backEnds, routerCount, clock.getAsLong()),
              QUEUE_CAPACITY,
              clock,
              new MetricRegistry());
    }

    void updateLimit() {
      admissionQueue.setLimit(ConcurrencyLimit.of(backEnds, routerCount, clock.getAsLong()));
    }

    void sweep() {
      admissionQueue.sweep();
    }

    void offer(TrialRequest request) {
      Admission admission =
          admissionQueue.offer(
              new AdmissionRequest(
                  request.customer,
                  request.requestClass,
                  request.outputTokens,
                  request.deadlineNanos()));
      var unused =
          admission
              .granted()
              .whenComplete(
                  (nothing, error) -> {
                    if (error != null) {
                      refuse(request);
                    } else {
                      ModelId model = service.isModel() ? FakeLink.MODEL : null;
                      attempt(
                          request,
                          admission,
                          new RouteRequest(
                              model,
                              zone,
                              request.prefix,
                              request.requestClass.urgency(),
                              request.deadlineNanos(),
                              Set.of()));
                    }
                  });
    }

    private void attempt(TrialRequest request, Admission admission, RouteRequest route) {
      BackEnd chosen = picker.pick(route, backEnds, random).orElse(null);
      if (chosen == null || !chosen.tryBegin(route.urgency(), clock.getAsLong())) {
        refuse(request);
        admission.release();
        return;
      }
      picker.prefixes().recordSend(chosen, request.prefix);
      if (request.attempts++ == 0) {
        retryBudget.onFirstAttempt();
      }
      request.sentNanos = clock.getAsLong();
      TrialReplica replica = replicas.get(backEnds.all().indexOf(chosen));
      long latencyNanos =
          chosen.zone().equals(zone) ? SAME_ZONE_LATENCY_NANOS : CROSS_ZONE_LATENCY_NANOS;
      clock.runAfter(
          latencyNanos,
          () ->
              replica.submit(
                  request,
                  at ->
                      request.firstTokenNanos =
                          request.firstTokenNanos < 0 ? at + latencyNanos : request.firstTokenNanos,
                  () -> onEnded(request, admission, chosen),
                  () -> onLost(request, admission, chosen, route)));
    }

    private void onEnded(TrialRequest request, Admission admission, BackEnd chosen) {
      chosen.end(BackEnd.Outcome.ANSWERED, request.sentNanos, clock.getAsLong(), random);
      request.endNanos = clock.getAsLong();
      admission.release();
    }

    private void onLost(
        TrialRequest request, Admission admission, BackEnd chosen, RouteRequest route) {
      chosen.end(BackEnd.Outcome.FAILED, request.sentNanos, clock.getAsLong(), random);
      RetryPolicy.Decision decision =
          retryPolicy.decide(
              new RetryPolicy.Failure(
                  request.attempts,
                  route.urgency(),
                  RunState.UNKNOWN,
                  0,
                  request.firstTokenNanos >= 0),
              clock.getAsLong(),
              request.deadlineNanos(),
              random);
      if (decision.isRetry()) {
        clock.runAfter(
            decision.delay().toNanos(),
            () -> attempt(request, admission, route.withExcluded(chosen.id())));
      } else {
        request.refused = true;
        admission.release();
      }
    }

    private void refuse(TrialRequest request) {
      request.refused = true;
      request.falselyRefused = replicas.stream().anyMatch(TrialReplica::hasFreeSlot);
    }
  }
}

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

/** Several routers before the replicas of one upstream, in virtual time. */
final class TrialFleet {
  private static final long REPORT_PERIOD = 500 * TrialClock.MILLI;
  private static final long REPORT_LAG = 150 * TrialClock.MILLI;
  private static final long EVENT_PERIOD = 2 * TrialClock.SECOND;
  private static final double EVENT_LOSS = 0.2;
  private static final long DETECTION = TrialClock.SECOND;
  private static final long NEAR = 300_000;
  private static final long FAR = 900_000;
  private static final int TOTAL_QUEUE = 4_000;

  final TrialClock clock = new TrialClock();
  final List<TrialReplica> replicas = new ArrayList<>();
  private final List<Router> routers = new ArrayList<>();
  private final List<Double> busy = new ArrayList<>();
  private final SplittableRandom random;
  private final TrialShape.Service service;

  TrialFleet(
      RoutingPolicy policy,
      TrialShape shape,
      TrialShape.Service service,
      int scale,
      int routerCount,
      long seed) {
    this.random = new SplittableRandom(seed);
    this.service = service;
    UpstreamId upstream = UpstreamId.of(service.name());
    for (int i = 0; i < service.replicas() * scale; i++) {
      var instance = FakeLink.sidecar(service.name() + i, "z" + i % shape.zones(), upstream);
      replicas.add(new TrialReplica(instance, service.capacity(), clock));
    }
    for (int i = 0; i < routerCount; i++) {
      routers.add(new Router(Zone.of("z" + i % shape.zones()), policy, routerCount));
    }
    clock.every(REPORT_PERIOD, this::reportLoad);
    clock.every(EVENT_PERIOD, this::publishCacheEvents);
    clock.every(AdmissionQueue.SWEEP_PERIOD.toNanos(), () -> routers.forEach(Router::sweep));
  }

  /** Returns the mean share of the slots that were busy, after a quarter of the time so far. */
  double busyShare() {
    return busy.subList(busy.size() / 4, busy.size()).stream()
        .mapToDouble(Double::doubleValue)
        .average()
        .orElse(0);
  }

  void arrive(TrialRequest request) {
    clock.after(
        request.arrival - clock.getAsLong(), () -> routers.get(request.router).offer(request));
  }

  /** Takes replicas down from one time to another. */
  void outage(List<TrialReplica> affected, long from, long to) {
    for (TrialReplica replica : affected) {
      clock.after(from, replica::crash);
      clock.after(from + DETECTION, () -> setConnected(replica, replica.up));
      clock.after(to, replica::recover);
      clock.after(to + DETECTION, () -> setConnected(replica, replica.up));
    }
  }

  /** Takes every engine down while the sidecars before them stay connected. */
  void engineOutage(long from, long to) {
    for (TrialReplica replica : replicas) {
      clock.after(from, replica::crash);
      clock.after(to, replica::recover);
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
    busy.add(running / (double) (replicas.size() * service.capacity()));
    for (int i = 0; i < replicas.size(); i++) {
      TrialReplica replica = replicas.get(i);
      int index = i;
      int atReplica = replica.running();
      int queued = replica.queued();
      long sent = clock.getAsLong();
      clock.after(
          REPORT_LAG,
          () ->
              routers.forEach(
                  r -> r.links.get(index).report(atReplica, queued, replica.capacity, sent)));
    }
    routers.forEach(Router::updateLimit);
  }

  private void publishCacheEvents() {
    for (int i = 0; i < replicas.size(); i++) {
      boolean lost = random.nextDouble() < EVENT_LOSS;
      CacheEvent event = replicas.get(i).takeEvent(false);
      CacheEvent told = lost ? new CacheEvent(new long[0], new long[0], false, true) : event;
      int index = i;
      for (Router router : routers) {
        clock.after(
            random.nextLong(EVENT_PERIOD),
            () -> router.picker.prefixes().apply(router.backEnds.all().get(index), told));
      }
    }
  }

  /** One router. */
  private final class Router {
    private final Zone zone;
    private final int routerCount;
    private final List<FakeLink> links = new ArrayList<>();
    private final BackEnds backEnds;
    private final BackEndPicker picker;
    private final AdmissionQueue admission;
    private final RetryBudget budget = RetryBudget.of(clock);
    private final RetryPolicy retryPolicy = RetryPolicy.of(budget);

    Router(Zone zone, RoutingPolicy policy, int routerCount) {
      this.zone = zone;
      this.routerCount = routerCount;
      List<BackEnd> members = new ArrayList<>();
      for (TrialReplica replica : replicas) {
        FakeLink link = new FakeLink(replica.instance, clock);
        link.report(0, 0, replica.capacity, 0);
        links.add(link);
        members.add(BackEnd.of(link, Set.of(FakeLink.MODEL)));
      }
      backEnds = BackEnds.of(members);
      members.forEach(BackEnd::detectReplacement);
      picker = BackEndPicker.of(policy, PrefixIndex.of(1 << 15, clock), clock);
      UpstreamId upstream = UpstreamId.of(service.name());
      admission =
          AdmissionQueue.of(
              upstream,
              ConcurrencyLimit.of(backEnds, routerCount, clock.getAsLong()),
              TOTAL_QUEUE,
              clock,
              new MetricRegistry());
    }

    void updateLimit() {
      admission.setLimit(ConcurrencyLimit.of(backEnds, routerCount, clock.getAsLong()));
    }

    void sweep() {
      admission.sweep();
    }

    void offer(TrialRequest request) {
      Admission ticket =
          admission.offer(
              new AdmissionRequest(
                  request.customer, request.requestClass, request.tokens, request.deadline()));
      var unused =
          ticket
              .granted()
              .whenComplete(
                  (turn, error) -> {
                    if (error != null) {
                      refuse(request);
                    } else {
                      ModelId model = service.isModel() ? FakeLink.MODEL : null;
                      attempt(
                          request,
                          ticket,
                          new RouteRequest(
                              model,
                              zone,
                              request.prefix,
                              request.requestClass.urgency(),
                              request.deadline(),
                              Set.of()));
                    }
                  });
    }

    private void attempt(TrialRequest request, Admission ticket, RouteRequest route) {
      BackEnd chosen = picker.pick(route, backEnds, random).orElse(null);
      if (chosen == null || !chosen.tryBegin(route.urgency(), clock.getAsLong())) {
        refuse(request);
        ticket.release();
        return;
      }
      picker.prefixes().recordSend(chosen, request.prefix);
      if (request.attempts++ == 0) {
        budget.onFirstAttempt();
      }
      request.sent = clock.getAsLong();
      TrialReplica replica = replicas.get(backEnds.all().indexOf(chosen));
      long hop = chosen.zone().equals(zone) ? NEAR : FAR;
      clock.after(
          hop,
          () ->
              replica.submit(
                  request,
                  at -> request.firstToken = request.firstToken < 0 ? at + hop : request.firstToken,
                  () -> ended(request, ticket, chosen),
                  () -> lost(request, ticket, chosen, route)));
    }

    private void ended(TrialRequest request, Admission ticket, BackEnd chosen) {
      chosen.end(BackEnd.Outcome.ANSWERED, request.sent, clock.getAsLong(), random);
      request.end = clock.getAsLong();
      ticket.release();
    }

    private void lost(TrialRequest request, Admission ticket, BackEnd chosen, RouteRequest route) {
      chosen.end(BackEnd.Outcome.FAILED, request.sent, clock.getAsLong(), random);
      RetryPolicy.Decision decision =
          retryPolicy.decide(
              new RetryPolicy.Failure(
                  request.attempts, route.urgency(), RunState.UNKNOWN, 0, request.firstToken >= 0),
              clock.getAsLong(),
              request.deadline(),
              random);
      if (decision.isRetry()) {
        clock.after(
            decision.delay().toNanos(),
            () -> attempt(request, ticket, route.withExcluded(chosen.id())));
      } else {
        request.refused = true;
        ticket.release();
      }
    }

    private void refuse(TrialRequest request) {
      request.refused = true;
      request.falselyRefused = replicas.stream().anyMatch(TrialReplica::hasFreeSlot);
    }
  }
}

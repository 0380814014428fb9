package io.snipeloom.routing;

import io.snipeloom.cost.CostEstimator;
import io.snipeloom.cost.PredictedService;
import io.snipeloom.cost.RequestCost;
import io.snipeloom.cost.RunningOutput;
import io.snipeloom.cost.ServicePace;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * What this instance has learned of the cost of requests and of the pace of replicas, and what
 * follows for a request that is sent now. Not thread-safe.
 */
public final class FleetCosts implements ServicePredictor {
  private static final double NANOS_PER_MILLI = 1_000_000.0;
  private static final double PERCENT = 100;

  /** The age from which a statement of a replica is not passed on, in nanoseconds. */
  private static final long MAX_TOLD_AGE_NANOS = 150_000_000L;

  /** The mean age of a statement that another instance passes on, in nanoseconds. */
  private static final long TOLD_AGE_NANOS = 50_000_000L;

  /**
   * The share of a memory that may be planned, in which running requests leave no cached part. The
   * remainder covers parts that running requests share.
   */
  private static final double PLANNED_MEMORY = 0.95;

  private final PeerDemand peers;
  private final CostEstimator estimator = new CostEstimator();
  private final Map<String, ServicePace> services = new HashMap<>();

  /**
   * Creates the costs while nothing was observed.
   *
   * @param peers the requests of the other instances
   */
  public FleetCosts(PeerDemand peers) {
    this.peers = peers;
  }

  /** Returns the estimator of what requests cost whichever replica runs them. */
  public CostEstimator estimator() {
    return estimator;
  }

  /**
   * Returns what is usual at a service.
   *
   * @param service the name of the service
   */
  public ServicePace service(String service) {
    return services.computeIfAbsent(service, name -> new ServicePace());
  }

  /**
   * Counts a model request that is sent to a replica.
   *
   * @param view the replica
   * @param cost what the request is likely to cost
   * @param uncachedTokens the prompt tokens that the replica has to process
   * @param nowNanos the current time
   * @return the request, which is told what becomes of it
   */
  public TrackedRequest onSent(
      ReplicaView view, RequestCost cost, long uncachedTokens, long nowNanos) {
    double ahead = tokensAhead(view) + uncachedTokens;
    return new TrackedRequest(
        this, view, new RunningOutput(view.costs().work(), cost, uncachedTokens), ahead, nowNanos);
  }

  /**
   * Records how long a request without a prompt took.
   *
   * @param view the replica
   * @param route the name of the route
   * @param running the requests at the replica when it was sent
   * @param nanos the time until the response
   * @param nowNanos the current time
   */
  public void onWork(ReplicaView view, String route, double running, long nanos, long nowNanos) {
    double pace = view.costs().pace().factor(nowNanos);
    record(
        view,
        service(view.replica().service()).onWork(route, running, nanos / NANOS_PER_MILLI, pace),
        nowNanos);
  }

  /** Records a first event. */
  void onFirstEvent(ReplicaView view, double tokensAhead, long nanos, long nowNanos) {
    double pace = view.costs().pace().factor(nowNanos);
    service(view.replica().service()).onFirstEvent(tokensAhead, nanos / NANOS_PER_MILLI, pace);
  }

  /** Records the gap between events while no prompt is processed, and the mean gap. */
  void onOutput(ReplicaView view, double undisturbedNanos, double meanNanos, long nowNanos) {
    double pace = view.costs().pace().factor(nowNanos);
    double tokenNanos = NANOS_PER_MILLI * view.costs().tokensPerEvent();
    double running = running(view, nowNanos);
    ServicePace service = service(view.replica().service());
    service.onMeanOutput(running, meanNanos / tokenNanos, pace);
    record(view, service.onOutput(running, undisturbedNanos / tokenNanos, pace), nowNanos);
  }

  private static void record(ReplicaView view, OptionalDouble ratio, long nowNanos) {
    ratio.ifPresent(value -> view.costs().pace().onObserved(value, nowNanos));
  }

  /**
   * Returns what the other instances are told of the work of a replica.
   *
   * @param view the replica
   * @param nowNanos the current time
   */
  public ObservedWork takeObserved(ReplicaView view, long nowNanos) {
    ReplicaCosts costs = view.costs();
    OptionalDouble observed = costs.pace().takeObserved();
    OptionalDouble stated = costs.pace().ownStatedPercent(nowNanos, MAX_TOLD_AGE_NANOS);
    return new ObservedWork(
        Math.round(costs.work().outputLeft()),
        Math.round(costs.work().heldTokens()),
        (int) Math.round(observed.orElse(0) * PERCENT),
        (int) Math.round(stated.orElse(0)));
  }

  /**
   * Records what another instance observed of a replica.
   *
   * @param view the replica
   * @param work what it observed
   * @param nowNanos the current time
   */
  public void onTold(ReplicaView view, ObservedWork work, long nowNanos) {
    if (work.statedPercent() > 0) {
      view.costs().pace().onToldStated(work.statedPercent(), nowNanos - TOLD_AGE_NANOS);
    }
    if (work.pacePercent() > 0) {
      view.costs().pace().onTold(work.pacePercent() / PERCENT, nowNanos);
    }
  }

  @Override
  public PredictedService predict(
      ReplicaView replica, RequestCost cost, long uncachedTokens, long nowNanos) {
    ServicePace service = services.get(replica.replica().service());
    if (service == null || !service.isKnown()) {
      return PredictedService.UNKNOWN;
    }
    double pace = replica.costs().pace().factor(nowNanos);
    double running = running(replica, nowNanos);
    double tokenMillis = service.outputTokenMillis(running + 1) * pace;
    double waitMillis = waitForRoom(replica, cost, uncachedTokens, running, tokenMillis);
    double firstEvent =
        service.firstEventMillis(tokensAhead(replica) + uncachedTokens) * pace + waitMillis;
    return new PredictedService(
        true,
        firstEvent,
        firstEvent + cost.outputTokens() * tokenMillis,
        tokenMillis * replica.costs().tokensPerEvent(),
        waitMillis == 0,
        Math.max(0, peers.ageNanos(nowNanos) / (long) NANOS_PER_MILLI));
  }

  /** Returns how long it takes until enough of the running requests have ended. */
  private double waitForRoom(
      ReplicaView view, RequestCost cost, long uncachedTokens, double running, double tokenMillis) {
    double missingSlots = running + 1 - view.replica().slots();
    double held = heldTokens(view);
    double missingTokens = missingTokens(view, uncachedTokens + cost.outputTokens());
    double share =
        Math.max(
            missingSlots > 0 ? missingSlots / Math.max(1, running) : 0,
            missingTokens > 0 ? missingTokens / Math.max(1, held) : 0);
    double meanLeft = outputLeft(view) / Math.max(1, running);
    return share <= 0 ? 0 : Math.max(1, Math.min(1, share) * 2 * meanLeft) * tokenMillis;
  }

  /** Returns the tokens by which a request exceeds the memory of a replica; negative if it fits. */
  double missingTokens(ReplicaView view, double tokens) {
    return heldTokens(view) + tokens - view.costs().capacityTokens() * PLANNED_MEMORY;
  }

  /** Returns the requests of all instances that run at a replica. */
  public double running(ReplicaView view, long nowNanos) {
    ReplicaLoad load = view.load();
    return load.inFlight()
        + Math.max(load.othersRunning(nowNanos), peers.inFlight(view.replica().id()));
  }

  /** Returns the prompt tokens of all instances that a replica has not processed. */
  double tokensAhead(ReplicaView view) {
    return Math.max(0, view.load().pendingPrefillTokens())
        + peers.pendingTokens(view.replica().id());
  }

  /** Returns the output of requests of all instances that is to come at a replica, in tokens. */
  double outputLeft(ReplicaView view) {
    return view.costs().work().outputLeft() + peers.outputLeft(view.replica().id());
  }

  private double heldTokens(ReplicaView view) {
    return view.costs().work().heldTokens() + peers.heldTokens(view.replica().id());
  }
}

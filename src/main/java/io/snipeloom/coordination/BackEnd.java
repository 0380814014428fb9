package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.ModelId;
import io.snipeloom.state.Urgency;
import io.snipeloom.state.Zone;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/**
 * A back end as one router sees it: the link to its sidecar, the router's own requests in flight,
 * the load that the back end reports, its circuit breaker, and whether it takes new work.
 *
 * <p>Thread-safe. Call {@link #tryBegin} before an attempt is sent and, if it returned true, {@link
 * #end} exactly once.
 */
public final class BackEnd {
  /** The capacity assumed before the first load report. */
  static final int DEFAULT_CAPACITY = 8;

  /** The service time assumed before the first answer, in milliseconds. */
  static final double ASSUMED_SERVICE_MILLIS = 1_000;

  /** The weight of a new value in the moving average of the load of other routers. */
  private static final double OTHERS_LOAD_WEIGHT = 0.2;

  /** The weight of a new value in the moving average of the service time. */
  private static final double SERVICE_TIME_WEIGHT = 0.05;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** How an attempt ended, as far as the back end is concerned. */
  public enum Outcome {
    /** The back end answered. */
    ANSWERED {
      @Override
      void recordIn(CircuitBreaker circuit, long nowNanos, RandomGenerator random) {
        circuit.onSuccess();
      }
    },
    /** The attempt failed or the connection was lost. */
    FAILED {
      @Override
      void recordIn(CircuitBreaker circuit, long nowNanos, RandomGenerator random) {
        circuit.onFailure(nowNanos, random);
      }
    },
    /** The attempt ended without showing whether the back end works. */
    ABANDONED {
      @Override
      void recordIn(CircuitBreaker circuit, long nowNanos, RandomGenerator random) {
        circuit.onAbandoned(nowNanos);
      }
    };

    abstract void recordIn(CircuitBreaker circuit, long nowNanos, RandomGenerator random);
  }

  private final SidecarLink link;
  private final Zone zone;
  private volatile Set<ModelId> models;
  private final CircuitBreaker circuit = new CircuitBreaker();
  private final InFlightHistory inFlight = new InFlightHistory();
  private volatile boolean withdrawn;
  private volatile boolean reserved;
  private final AtomicInteger epoch = new AtomicInteger();
  private volatile long cacheGapNanos = Long.MIN_VALUE;
  private volatile Incarnation incarnation;
  private volatile double serviceMillis = ASSUMED_SERVICE_MILLIS;
  private volatile Report report = new Report(null, 0, 0);

  /**
   * A load report, with the load of other routers derived from it: the reported requests less those
   * that this router had in flight when the report was sent.
   *
   * @param load the report; null before the first one
   * @param others the number of requests of other routers
   * @param meanOthers the moving average of that number
   */
  private record Report(Message.Heartbeat load, double others, double meanOthers) {
    private Report followedBy(Message.Heartbeat newLoad, int ownInFlight) {
      double newOthers = Math.max(0, newLoad.running() + newLoad.queued() - ownInFlight);
      double mean = meanOthers + OTHERS_LOAD_WEIGHT * (newOthers - meanOthers);
      return new Report(newLoad, newOthers, mean);
    }
  }

  private BackEnd(SidecarLink link, Set<ModelId> models) {
    this.link = link;
    this.zone = link.instance().zone();
    this.models = Set.copyOf(models);
  }

  /**
   * Returns a back end that is reached over a link.
   *
   * @param link the link to its sidecar
   * @param models the models that it serves; empty for a plain service
   */
  public static BackEnd of(SidecarLink link, Set<ModelId> models) {
    return new BackEnd(link, models);
  }

  /** Returns the slot of the back end's sidecar. */
  public InstanceId id() {
    return link.instance().id();
  }

  /** Returns the availability zone. */
  public Zone zone() {
    return zone;
  }

  /** Returns the link. */
  public SidecarLink link() {
    return link;
  }

  /** Returns the models served; empty for a plain service. */
  public Set<ModelId> models() {
    return models;
  }

  /**
   * Sets the models served. Existing {@link BackEnds} still index the back end by its former
   * models.
   *
   * @param newModels the models; empty for a plain service
   * @return true if they changed
   */
  public boolean updateModels(Set<ModelId> newModels) {
    if (models.equals(newModels)) {
      return false;
    }
    models = Set.copyOf(newModels);
    return true;
  }

  /** Returns the circuit breaker. */
  public CircuitBreaker circuit() {
    return circuit;
  }

  /** Returns the number of requests that this router has in flight at the back end. */
  public int inFlight() {
    return inFlight.count();
  }

  /**
   * Returns whether the back end may be chosen for a request.
   *
   * @param nowNanos the current time in nanoseconds
   * @return true if it takes new work, its circuit breaker allows the request and the request does
   *     not exclude it
   */
  public boolean accepts(RouteRequest request, long nowNanos) {
    return takesNewWork()
        && circuit.allows(request.urgency(), nowNanos)
        && (request.excluded().isEmpty() || !request.excluded().contains(id()));
  }

  /**
   * Returns whether new work may be sent, regardless of the circuit breaker.
   *
   * @return true if connected, not leaving, not withdrawn and not reserved
   */
  public boolean takesNewWork() {
    return !withdrawn && !reserved && link.isUsable();
  }

  /**
   * Registers an attempt that is about to be sent.
   *
   * @param nowNanos the current time in nanoseconds
   * @return false if the attempt must be sent to another back end, because the circuit breaker
   *     opened or the back end stopped taking new work after it was chosen
   */
  public boolean tryBegin(Urgency urgency, long nowNanos) {
    if (!takesNewWork() || !circuit.tryStart(urgency, nowNanos)) {
      return false;
    }
    inFlight.change(1, nowNanos);
    return true;
  }

  /**
   * Registers the end of an attempt for which {@link #tryBegin} returned true.
   *
   * @param outcome how it ended
   * @param beganNanos the time at which it was sent, in nanoseconds
   * @param nowNanos the current time in nanoseconds
   * @param random the source of jitter
   */
  public void end(Outcome outcome, long beganNanos, long nowNanos, RandomGenerator random) {
    inFlight.change(-1, nowNanos);
    if (outcome == Outcome.ANSWERED) {
      updateServiceTime((nowNanos - beganNanos) / (double) NANOS_PER_MILLI);
    }
    outcome.recordIn(circuit, nowNanos, random);
  }

  private synchronized void updateServiceTime(double millis) {
    serviceMillis = serviceMillis + SERVICE_TIME_WEIGHT * (millis - serviceMillis);
  }

  /**
   * Returns the number of requests that the back end can run at the same time.
   *
   * @return the capacity, at least 1
   */
  public int capacity() {
    int reported = link.load().capacity();
    return reported > 0 ? reported : DEFAULT_CAPACITY;
  }

  /**
   * Returns the estimated number of requests at the back end: those of this router, and those of
   * other routers according to the last report, whose weight falls with its age.
   *
   * @param nowNanos the current time in nanoseconds
   */
  public double estimatedLoad(long nowNanos) {
    return inFlight.count() + othersLoad(nowNanos);
  }

  /**
   * Returns the estimated load of other routers. The older a report is in relation to the service
   * time, the more of its requests have ended since, so its weight falls with its age in favour of
   * the moving average over all reports. A new report is recognized by object identity, since two
   * reports may be equal.
   */
  @SuppressWarnings("ReferenceEquality")
  private double othersLoad(long nowNanos) {
    Message.Heartbeat load = link.load();
    long age = link.loadAgeMillis();
    Report latest = report;
    if (latest.load() != load) {
      latest = latest.followedBy(load, inFlight.at(nowNanos - age * NANOS_PER_MILLI));
      report = latest;
    }
    double service = serviceMillis;
    double weight = service / (service + age);
    return weight * latest.others() + (1 - weight) * latest.meanOthers();
  }

  /**
   * Checks whether the sidecar was replaced by another incarnation. If so, closes the circuit
   * breaker, which counted the failures of the predecessor, and starts a new cache epoch, since the
   * cache of the new incarnation is empty.
   *
   * @return true if an earlier incarnation was replaced
   */
  public boolean detectReplacement() {
    Incarnation present = link.incarnation().orElse(null);
    if (present == null || present.equals(incarnation)) {
      return false;
    }
    boolean replaced = incarnation != null;
    incarnation = present;
    if (replaced) {
      circuit.reset();
      epoch.incrementAndGet();
    }
    return replaced;
  }

  /**
   * Sets whether new work is withheld because of the fleet membership.
   *
   * @param newValue true to withhold new work
   */
  public void setWithdrawn(boolean newValue) {
    withdrawn = newValue;
  }

  /** Returns whether new work is withheld because of the fleet membership. */
  public boolean isWithdrawn() {
    return withdrawn;
  }

  /**
   * Sets whether the back end is reserved for a suspect request that must run alone.
   *
   * @param newValue true to reserve it, false to release it
   */
  public void setReserved(boolean newValue) {
    reserved = newValue;
  }

  int epoch() {
    return epoch.get();
  }

  /**
   * Records that cache events were lost, which lowers the weight of older entries of the prefix
   * index.
   *
   * @param nowNanos the current time in nanoseconds
   */
  void recordCacheGap(long nowNanos) {
    cacheGapNanos = nowNanos;
  }

  long cacheGapNanos() {
    return cacheGapNanos;
  }

  /** Records that the cache was cleared. */
  void recordCacheCleared() {
    epoch.incrementAndGet();
  }

  @Override
  public String toString() {
    return id().value();
  }
}

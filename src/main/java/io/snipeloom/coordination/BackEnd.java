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
 * the reported load, the circuit, and whether it takes new work.
 *
 * <p>Thread-safe. Each attempt calls {@link #tryBegin} before it is sent and {@link #end} once.
 */
public final class BackEnd {
  /** The capacity assumed before the first load report. */
  static final int DEFAULT_CAPACITY = 8;

  /** The time of service assumed before the first answer, in milliseconds. */
  static final double ASSUMED_SERVICE_MILLIS = 1_000;

  private static final double REPORT_GAIN = 0.2;
  private static final double SERVICE_GAIN = 0.05;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** How an attempt ended, as far as the back end is concerned. */
  public enum Outcome {
    /** It answered. */
    ANSWERED {
      @Override
      void tell(CircuitBreaker circuit, long nowNanos, RandomGenerator random) {
        circuit.onSuccess();
      }
    },
    /** It failed or its connection was lost. */
    FAILED {
      @Override
      void tell(CircuitBreaker circuit, long nowNanos, RandomGenerator random) {
        circuit.onFailure(nowNanos, random);
      }
    },
    /** The attempt ended without showing whether the back end works. */
    ABANDONED {
      @Override
      void tell(CircuitBreaker circuit, long nowNanos, RandomGenerator random) {
        circuit.onAbandoned(nowNanos);
      }
    };

    abstract void tell(CircuitBreaker circuit, long nowNanos, RandomGenerator random);
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
   * A load report, split by the own requests in flight when it was sent.
   *
   * @param load the report
   * @param others the requests of other routers
   * @param meanOthers their moving average
   */
  private record Report(Message.Heartbeat load, double others, double meanOthers) {
    private Report next(Message.Heartbeat newLoad, int own) {
      double newOthers = Math.max(0, newLoad.running() + newLoad.queued() - own);
      double mean = meanOthers + REPORT_GAIN * (newOthers - meanOthers);
      return new Report(newLoad, newOthers, mean);
    }
  }

  private BackEnd(SidecarLink link, Set<ModelId> models) {
    this.link = link;
    this.zone = link.instance().zone();
    this.models = Set.copyOf(models);
  }

  /**
   * Returns a back end behind a link.
   *
   * @param link the link to its sidecar
   * @param models the models that it serves; empty for a plain service
   * @return the back end
   */
  public static BackEnd of(SidecarLink link, Set<ModelId> models) {
    return new BackEnd(link, models);
  }

  /**
   * Returns the slot.
   *
   * @return the slot
   */
  public InstanceId id() {
    return link.instance().id();
  }

  /**
   * Returns the zone.
   *
   * @return the zone
   */
  public Zone zone() {
    return zone;
  }

  /**
   * Returns the link.
   *
   * @return the link
   */
  public SidecarLink link() {
    return link;
  }

  /**
   * Returns the models served.
   *
   * @return the models; empty for a plain service
   */
  public Set<ModelId> models() {
    return models;
  }

  /**
   * Sets the models served; {@link BackEnds} made earlier do not notice.
   *
   * @param newModels the models; empty for a plain service
   * @return true if they changed
   */
  public boolean serve(Set<ModelId> newModels) {
    if (models.equals(newModels)) {
      return false;
    }
    models = Set.copyOf(newModels);
    return true;
  }

  /**
   * Returns the circuit.
   *
   * @return the circuit
   */
  public CircuitBreaker circuit() {
    return circuit;
  }

  /**
   * Returns the requests of this router in flight.
   *
   * @return the number of requests
   */
  public int inFlight() {
    return inFlight.count();
  }

  /**
   * Returns whether the back end may be chosen for a request.
   *
   * @param request the request
   * @param nowNanos the present time in nanoseconds
   * @return true if it takes new work, its circuit allows it and it is not excluded
   */
  public boolean accepts(RouteRequest request, long nowNanos) {
    return takesNewWork()
        && circuit.allows(request.urgency(), nowNanos)
        && (request.excluded().isEmpty() || !request.excluded().contains(id()));
  }

  /**
   * Returns whether any new work may be sent, whatever the circuit says.
   *
   * @return true if connected, not leaving, not withdrawn and not reserved
   */
  public boolean takesNewWork() {
    return !withdrawn && !reserved && link.isUsable();
  }

  /**
   * Counts an attempt that is about to be sent.
   *
   * @param urgency the urgency of the request
   * @param nowNanos the present time in nanoseconds
   * @return false if it must go elsewhere, because the circuit opened or the back end left since
   *     the pick
   */
  public boolean tryBegin(Urgency urgency, long nowNanos) {
    if (!takesNewWork() || !circuit.tryStart(urgency, nowNanos)) {
      return false;
    }
    inFlight.change(1, nowNanos);
    return true;
  }

  /**
   * Counts the end of an attempt for which {@link #tryBegin} returned true.
   *
   * @param outcome how it ended
   * @param beganNanos when it was sent
   * @param nowNanos the present time in nanoseconds
   * @param random the source of jitter
   */
  public void end(Outcome outcome, long beganNanos, long nowNanos, RandomGenerator random) {
    inFlight.change(-1, nowNanos);
    if (outcome == Outcome.ANSWERED) {
      noteService((nowNanos - beganNanos) / (double) NANOS_PER_MILLI);
    }
    outcome.tell(circuit, nowNanos, random);
  }

  private synchronized void noteService(double millis) {
    serviceMillis = serviceMillis + SERVICE_GAIN * (millis - serviceMillis);
  }

  /**
   * Returns the requests that the back end runs at once.
   *
   * @return the capacity, at least 1
   */
  public int capacity() {
    int reported = link.load().capacity();
    return reported > 0 ? reported : DEFAULT_CAPACITY;
  }

  /**
   * Returns the estimated requests at the back end: the router's own, and those of other routers by
   * the last report, which counts less the older it is.
   *
   * @param nowNanos the present time in nanoseconds
   * @return the estimate
   */
  public double estimatedLoad(long nowNanos) {
    return inFlight.count() + othersLoad(nowNanos);
  }

  /**
   * A new report is told by its identity, since two reports may be equal. A report says little
   * about requests that have ended since, so it counts by its age in terms of the time of service,
   * and the average of earlier reports fills in.
   */
  @SuppressWarnings("ReferenceEquality")
  private double othersLoad(long nowNanos) {
    Message.Heartbeat load = link.load();
    long age = link.loadAgeMillis();
    Report known = report;
    if (known.load() != load) {
      known = known.next(load, inFlight.at(nowNanos - age * NANOS_PER_MILLI));
      report = known;
    }
    double service = serviceMillis;
    double weight = service / (service + age);
    return weight * known.others() + (1 - weight) * known.meanOthers();
  }

  /**
   * Notices a replaced incarnation, whose cache is empty and whose predecessor's failures do not
   * count.
   *
   * @return true if the incarnation changed
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
   * Sets whether membership withholds new work.
   *
   * @param newValue true to withhold new work
   */
  public void setWithdrawn(boolean newValue) {
    withdrawn = newValue;
  }

  /**
   * Returns whether membership withholds new work.
   *
   * @return true if withheld
   */
  public boolean isWithdrawn() {
    return withdrawn;
  }

  /**
   * Sets whether the back end is reserved for a suspect request that must run alone.
   *
   * @param newValue true while reserved
   */
  public void setReserved(boolean newValue) {
    reserved = newValue;
  }

  int epoch() {
    return epoch.get();
  }

  /**
   * Notes that cache events were lost, after which older entries of the prefix index count less.
   *
   * @param nowNanos the present time in nanoseconds
   */
  void recordCacheGap(long nowNanos) {
    cacheGapNanos = nowNanos;
  }

  long cacheGapNanos() {
    return cacheGapNanos;
  }

  /** Notes that the cache was cleared. */
  void recordCacheCleared() {
    epoch.incrementAndGet();
  }

  @Override
  public String toString() {
    return id().value();
  }
}

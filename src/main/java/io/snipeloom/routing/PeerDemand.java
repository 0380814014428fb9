package io.snipeloom.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The unfinished requests of other instances at each replica, from their latest reports.
 *
 * <p>In a large fleet, an instance receives few responses of each replica, so that the load which
 * responses state is mostly too old to use. A report that is not followed by another one expires.
 * Not thread-safe.
 */
public final class PeerDemand {
  /** The age from which a report counts no longer, because its instance is gone or cut off. */
  private static final long MAX_AGE_NANOS = 1_000_000_000L;

  /** The most instances that report to one instance on average. */
  public static final int MAX_REPORTERS = 64;

  private static final ReplicaDemand NO_DEMAND = new ReplicaDemand(new ReplicaId("none"), 0, 0);

  private final Map<String, ReceivedReport> reports = new HashMap<>();
  private final Map<ReplicaId, ReplicaDemand> totals = new HashMap<>();
  private int others;

  private record ReceivedReport(List<ReplicaDemand> demands, long atNanos) {}

  /**
   * Sets the number of other instances, of which some may not report to this one.
   *
   * @param count the number of other live instances, at least 0
   */
  public void changeOthers(int count) {
    others = count;
  }

  /**
   * Replaces the report of an instance.
   *
   * @param report the report
   * @param nowNanos the current time
   */
  public void onReport(DemandReport report, long nowNanos) {
    remove(report.instance());
    reports.put(report.instance(), new ReceivedReport(report.demands(), nowNanos));
    report.demands().forEach(demand -> addToTotal(demand, 1));
  }

  /**
   * Drops the reports that are too old.
   *
   * @param nowNanos the current time
   */
  public void expire(long nowNanos) {
    List<String> expired = new ArrayList<>();
    reports.forEach(
        (instance, report) -> {
          if (nowNanos - report.atNanos() > MAX_AGE_NANOS) {
            expired.add(instance);
          }
        });
    expired.forEach(this::remove);
  }

  /** Returns the number of instances whose reports count. */
  public int reporters() {
    return reports.size();
  }

  /** Returns whether the reports tell enough of the other instances to choose by them. */
  public boolean isKnown() {
    return reports.size() * 2 > Math.min(others, MAX_REPORTERS);
  }

  /**
   * Returns the estimated requests of all other instances at a replica.
   *
   * @param replica the replica
   */
  public double inFlight(ReplicaId replica) {
    return totals.getOrDefault(replica, NO_DEMAND).inFlight() * scale();
  }

  /**
   * Returns the estimated prompt tokens of all other instances that a replica has not processed.
   *
   * @param replica the replica
   */
  public double pendingTokens(ReplicaId replica) {
    return totals.getOrDefault(replica, NO_DEMAND).pendingTokens() * scale();
  }

  /**
   * Returns the estimated output that requests of all other instances will yet generate at a
   * replica, in tokens.
   *
   * @param replica the replica
   */
  public double outputLeft(ReplicaId replica) {
    return totals.getOrDefault(replica, NO_DEMAND).work().outputLeft() * scale();
  }

  /**
   * Returns the estimated memory that requests of all other instances hold at a replica, in tokens.
   *
   * @param replica the replica
   */
  public double heldTokens(ReplicaId replica) {
    return totals.getOrDefault(replica, NO_DEMAND).work().heldTokens() * scale();
  }

  /**
   * Returns the age of the oldest report that counts; 0 if there is none.
   *
   * @param nowNanos the current time
   */
  public long ageNanos(long nowNanos) {
    long oldest = nowNanos;
    for (ReceivedReport report : reports.values()) {
      oldest = Math.min(oldest, report.atNanos());
    }
    return nowNanos - oldest;
  }

  private double scale() {
    return reports.isEmpty() ? 0 : Math.max(1, (double) others / reports.size());
  }

  private void remove(String instance) {
    ReceivedReport previous = reports.remove(instance);
    if (previous != null) {
      previous.demands().forEach(demand -> addToTotal(demand, -1));
    }
  }

  private void addToTotal(ReplicaDemand demand, int sign) {
    ReplicaDemand before = totals.getOrDefault(demand.replica(), NO_DEMAND);
    int inFlight = before.inFlight() + sign * demand.inFlight();
    long pendingTokens = before.pendingTokens() + sign * demand.pendingTokens();
    ObservedWork work = before.work().plus(demand.work(), sign);
    if (inFlight == 0 && pendingTokens == 0 && work.equals(ObservedWork.NONE)) {
      totals.remove(demand.replica());
    } else {
      totals.put(
          demand.replica(), new ReplicaDemand(demand.replica(), inFlight, pendingTokens, work));
    }
  }
}

package io.snipeloom.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * The share of each customer in the requests of a kind, over all instances that report. Not
 * thread-safe.
 *
 * <p>A customer may ask for what it usually does, or for an equal share if that is more. When the
 * others ask for more than usual, it may do so in proportion. What lies beyond, and is not to be
 * expected by chance, is its excess.
 */
final class CustomerShares {
  private static final double RECENT_SECONDS = 2;

  /** Requests come at random; so many standard deviations beyond a share count as chance. */
  private static final double CHANCE_DEVIATIONS = 3;

  /** Customers with fewer requests a second are forgotten when there are many. */
  private static final double FORGOTTEN_PER_SECOND = 0.001;

  /** The number of customers of a kind from which some are forgotten. */
  private static final int MANY_CUSTOMERS = 4_096;

  private final Map<String, Kind> kinds = new HashMap<>();

  private static final class Kind {
    private final long sinceNanos;
    private final Map<String, Demand> customers = new HashMap<>();

    Kind(long sinceNanos) {
      this.sinceNanos = sinceNanos;
    }
  }

  private static final class Demand {
    private final DecayingRate recent;
    private final UsualRate usual;

    Demand(long sinceNanos, long nowNanos) {
      recent = new DecayingRate(RECENT_SECONDS, nowNanos);
      usual = new UsualRate(sinceNanos, nowNanos);
    }
  }

  /**
   * Counts requests that callers sent to this instance or another one.
   *
   * @param kind the kind of request
   * @param customer the customer
   * @param requests the number of requests
   * @param nowNanos the current time
   */
  void onAsked(String kind, String customer, int requests, long nowNanos) {
    Kind known = kinds.computeIfAbsent(kind, name -> new Kind(nowNanos));
    if (known.customers.size() >= MANY_CUSTOMERS) {
      known
          .customers
          .values()
          .removeIf(demand -> demand.usual.perSecond(nowNanos) < FORGOTTEN_PER_SECOND);
    }
    Demand demand =
        known.customers.computeIfAbsent(customer, name -> new Demand(known.sinceNanos, nowNanos));
    demand.recent.add(requests, nowNanos);
    demand.usual.add(requests, nowNanos);
  }

  /**
   * Returns the part of the recent requests of a customer that lies beyond its share, from 0 to 1.
   *
   * @param kind the kind of request
   * @param customer the customer
   * @param nowNanos the current time
   */
  double excess(String kind, String customer, long nowNanos) {
    Kind known = kinds.get(kind);
    if (known == null || !known.customers.containsKey(customer) || known.customers.size() == 1) {
      return 0;
    }
    double recentOfOthers = 0;
    double usualOfOthers = 0;
    for (Map.Entry<String, Demand> entry : known.customers.entrySet()) {
      if (!entry.getKey().equals(customer)) {
        recentOfOthers += entry.getValue().recent.perSecond(known.sinceNanos, nowNanos);
        usualOfOthers += entry.getValue().usual.perSecond(nowNanos);
      }
    }
    Demand own = known.customers.get(customer);
    double usual = own.usual.perSecond(nowNanos);
    double equalShare = (usual + usualOfOthers) / known.customers.size();
    double growthOfOthers = usualOfOthers > 0 ? recentOfOthers / usualOfOthers : 1;
    double perSecond = Math.max(usual, equalShare) * Math.max(1, growthOfOthers);
    double expected = perSecond * RECENT_SECONDS;
    double share = expected + CHANCE_DEVIATIONS * Math.sqrt(expected) + 1;
    double recent = own.recent.perSecond(known.sinceNanos, nowNanos) * RECENT_SECONDS;
    return recent <= share ? 0 : 1 - share / recent;
  }
}

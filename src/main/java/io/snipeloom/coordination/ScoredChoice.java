package io.snipeloom.coordination;

import java.util.random.RandomGenerator;

/**
 * Finds the back end with the lowest cost among a bounded number of candidates. Each instance
 * serves a single pick.
 */
final class ScoredChoice {
  /** The maximum size of a pool of which every back end is scored. */
  static final int SCORE_ALL_MAX = 16;

  /** The number of candidates drawn from the zone of the router. */
  static final int OWN_ZONE_SAMPLE = 5;

  /** The number of candidates drawn from all zones. */
  static final int ANY_ZONE_SAMPLE = 3;

  /**
   * The additional cost of each request beyond the capacity of a back end, relative to one within
   * it.
   */
  static final double QUEUE_COST = 8;

  /** The weight of the requests of other routers, whose number is known only with a lag. */
  static final double OTHER_ROUTERS_WEIGHT = 0.5;

  /** The cost of a back end outside the zone of the router, in units of utilisation. */
  static final double ZONE_COST = 0.01;

  /** The bonus of a fully cached prompt of the maximum indexed length, in units of utilisation. */
  static final double PREFIX_BONUS = 0.3;

  /** The range of the random term that breaks ties, in units of utilisation. */
  static final double TIE_BREAK_RANGE = 0.01;

  private final RouteRequest request;
  private final RandomGenerator random;
  private final PrefixMatches matches = new PrefixMatches();
  private final long nowNanos;
  private BackEnd best;
  private double bestCost = Double.MAX_VALUE;

  ScoredChoice(BackEndPicker picker, RouteRequest request, RandomGenerator random) {
    this.request = request;
    this.random = random;
    this.nowNanos = picker.nowNanos();
    picker.prefixes().find(request.prefix(), matches);
  }

  /**
   * Returns the back end with the lowest cost.
   *
   * @param pool the back ends that serve the model
   * @return the back end; null if no candidate accepts the request
   */
  BackEnd best(BackEnds.Pool pool) {
    BackEnd[] all = pool.all();
    if (all.length <= SCORE_ALL_MAX) {
      for (BackEnd candidate : all) {
        consider(candidate);
      }
      return best;
    }
    for (int i = 0; i < matches.count(); i++) {
      considerPrefixMatch(matches.backEnd(i));
    }
    sample(pool.in(request.zone()), OWN_ZONE_SAMPLE);
    sample(all, ANY_ZONE_SAMPLE);
    return best;
  }

  private void considerPrefixMatch(BackEnd candidate) {
    if (request.model() == null || candidate.models().contains(request.model())) {
      consider(candidate);
    }
  }

  private void sample(BackEnd[] from, int size) {
    if (from.length == 0) {
      return;
    }
    for (int i = 0; i < size; i++) {
      consider(from[random.nextInt(from.length)]);
    }
  }

  private void consider(BackEnd candidate) {
    if (!candidate.accepts(request, nowNanos)) {
      return;
    }
    double cost = cost(candidate);
    if (cost < bestCost) {
      bestCost = cost;
      best = candidate;
    }
  }

  private double cost(BackEnd candidate) {
    double capacity = candidate.capacity();
    double own = candidate.inFlight();
    double load = own + OTHER_ROUTERS_WEIGHT * (candidate.estimatedLoad(nowNanos) - own);
    double waiting = Math.max(0, load + 1 - capacity);
    double cost = (load + QUEUE_COST * waiting) / capacity;
    if (!candidate.zone().equals(request.zone())) {
      cost += ZONE_COST;
    }
    cost -= PREFIX_BONUS * matches.blocks(candidate) / PrefixChain.MAX_BLOCKS;
    return cost + TIE_BREAK_RANGE * random.nextDouble();
  }
}

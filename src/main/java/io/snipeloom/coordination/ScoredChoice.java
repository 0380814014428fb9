package io.snipeloom.coordination;

import java.util.random.RandomGenerator;

/** Finds the back end with the lowest cost among a bounded number of candidates; one pick only. */
final class ScoredChoice {
  /** The pool size up to which every back end is scored. */
  static final int SCORE_ALL = 16;

  /** The candidates drawn from the zone of the router. */
  static final int OWN_ZONE_SAMPLE = 5;

  /** The candidates drawn from every zone. */
  static final int ANY_ZONE_SAMPLE = 3;

  /** The cost of one more request per unit of capacity beyond a full back end. */
  static final double QUEUE_COST = 8;

  /** The weight of requests of other routers, which are known with a lag only. */
  static final double OTHERS_WEIGHT = 0.5;

  /** The cost of leaving the zone of the router, in units of utilisation. */
  static final double ZONE_COST = 0.01;

  /** The gain of a wholly cached prompt of the longest length, in units of utilisation. */
  static final double PREFIX_GAIN = 0.3;

  /** The spread of random ties, in units of utilisation. */
  static final double TIE_SPREAD = 0.01;

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
   * @return the back end; null if no candidate takes the request
   */
  BackEnd best(BackEnds.Pool pool) {
    BackEnd[] all = pool.all();
    if (all.length <= SCORE_ALL) {
      for (BackEnd candidate : all) {
        consider(candidate);
      }
      return best;
    }
    for (int i = 0; i < matches.count(); i++) {
      considerMatch(matches.backEnd(i));
    }
    sample(pool.in(request.zone()), OWN_ZONE_SAMPLE);
    sample(all, ANY_ZONE_SAMPLE);
    return best;
  }

  private void considerMatch(BackEnd candidate) {
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
    double load = own + OTHERS_WEIGHT * (candidate.estimatedLoad(nowNanos) - own);
    double waiting = Math.max(0, load + 1 - capacity);
    double cost = (load + QUEUE_COST * waiting) / capacity;
    if (!candidate.zone().equals(request.zone())) {
      cost += ZONE_COST;
    }
    cost -= PREFIX_GAIN * matches.blocks(candidate) / PrefixChain.MAX_BLOCKS;
    return cost + TIE_SPREAD * random.nextDouble();
  }
}

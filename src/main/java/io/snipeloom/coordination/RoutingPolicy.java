package io.snipeloom.coordination;

import io.snipeloom.state.UpstreamKind;
import java.util.random.RandomGenerator;

/** The policies by which a back end is chosen. */
public enum RoutingPolicy {
  /** Round robin over the back ends that accept the request. */
  ROUND_ROBIN {
    @Override
    BackEnd choose(
        BackEndPicker picker, RouteRequest request, BackEnds.Pool pool, RandomGenerator random) {
      return firstAccepting(
          pool.all(), picker.nextRoundRobinIndex(pool.all().length), request, picker);
    }
  },

  /** The back end with the fewest in-flight requests of this router. */
  LEAST_IN_FLIGHT {
    @Override
    BackEnd choose(
        BackEndPicker picker, RouteRequest request, BackEnds.Pool pool, RandomGenerator random) {
      BackEnd[] all = pool.all();
      long now = picker.nowNanos();
      int start = random.nextInt(all.length);
      BackEnd best = null;
      for (int i = 0; i < all.length; i++) {
        BackEnd next = all[(start + i) % all.length];
        if (next.accepts(request, now) && (best == null || next.inFlight() < best.inFlight())) {
          best = next;
        }
      }
      return best;
    }
  },

  /** The one with the lower estimated load of two back ends drawn at random. */
  TWO_CHOICES {
    @Override
    BackEnd choose(
        BackEndPicker picker, RouteRequest request, BackEnds.Pool pool, RandomGenerator random) {
      BackEnd[] all = pool.all();
      BackEnd left = firstAccepting(all, random.nextInt(all.length), request, picker);
      BackEnd right = firstAccepting(all, random.nextInt(all.length), request, picker);
      if (left == null || left == right) {
        return left;
      }
      long now = picker.nowNanos();
      return left.estimatedLoad(now) <= right.estimatedLoad(now) ? left : right;
    }
  },

  /**
   * The best-scored back end among a random sample of the fleet, a random sample of the router's
   * own zone, and the back ends that probably hold the prompt prefix in their cache.
   */
  SCORED {
    @Override
    BackEnd choose(
        BackEndPicker picker, RouteRequest request, BackEnds.Pool pool, RandomGenerator random) {
      BackEnd best = new ScoredChoice(picker, request, random).best(pool);
      return best != null
          ? best
          : firstAccepting(pool.all(), random.nextInt(pool.all().length), request, picker);
    }
  };

  /**
   * Returns the policy for an upstream of this kind. Calls of plain services are short and end
   * before the next load report arrives, so for these only the router's own in-flight count is
   * used.
   *
   * @param kind the kind of the upstream
   */
  public static RoutingPolicy forKind(UpstreamKind kind) {
    return kind == UpstreamKind.MODEL_ENGINE ? SCORED : LEAST_IN_FLIGHT;
  }

  /**
   * Chooses a back end.
   *
   * @param picker the picker, which provides the clock, the round-robin index and the prefix index
   * @param pool the back ends that serve the model, at least one
   * @param random the source of randomness
   * @return the back end; null if none accepts the request
   */
  abstract BackEnd choose(
      BackEndPicker picker, RouteRequest request, BackEnds.Pool pool, RandomGenerator random);

  private static BackEnd firstAccepting(
      BackEnd[] all, int start, RouteRequest request, BackEndPicker picker) {
    long now = picker.nowNanos();
    for (int i = 0; i < all.length; i++) {
      BackEnd next = all[(start + i) % all.length];
      if (next.accepts(request, now)) {
        return next;
      }
    }
    return null;
  }
}

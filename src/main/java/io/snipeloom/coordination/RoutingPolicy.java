package io.snipeloom.coordination;

import io.snipeloom.state.UpstreamKind;
import java.util.random.RandomGenerator;

/** The ways to choose a back end. */
public enum RoutingPolicy {
  /** Each usable back end in turn. */
  ROUND_ROBIN {
    @Override
    BackEnd choose(
        BackEndPicker picker, RouteRequest request, BackEnds.Pool pool, RandomGenerator random) {
      return firstUsable(pool.all(), picker.nextTurn(pool.all().length), request, picker);
    }
  },

  /** The back end with the fewest requests of this router in flight. */
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

  /** Of two back ends drawn at random, the one with the smaller estimated load. */
  TWO_CHOICES {
    @Override
    BackEnd choose(
        BackEndPicker picker, RouteRequest request, BackEnds.Pool pool, RandomGenerator random) {
      BackEnd[] all = pool.all();
      BackEnd left = firstUsable(all, random.nextInt(all.length), request, picker);
      BackEnd right = firstUsable(all, random.nextInt(all.length), request, picker);
      if (left == null || left == right) {
        return left;
      }
      long now = picker.nowNanos();
      return left.estimatedLoad(now) <= right.estimatedLoad(now) ? left : right;
    }
  },

  /** The best score of a sample, of the router's own zone, and of those that hold the prefix. */
  SCORED {
    @Override
    BackEnd choose(
        BackEndPicker picker, RouteRequest request, BackEnds.Pool pool, RandomGenerator random) {
      BackEnd best = new ScoredChoice(picker, request, random).best(pool);
      return best != null
          ? best
          : firstUsable(pool.all(), random.nextInt(pool.all().length), request, picker);
    }
  };

  /**
   * Returns the policy for back ends of a kind. Short calls end before a load report arrives, so
   * for plain services only the router's own count is used.
   *
   * @param kind the kind of back ends
   * @return the policy
   */
  public static RoutingPolicy forKind(UpstreamKind kind) {
    return kind == UpstreamKind.MODEL_ENGINE ? SCORED : LEAST_IN_FLIGHT;
  }

  /**
   * Chooses a back end.
   *
   * @param picker the picker, for its clock, turn and prefix index
   * @param request the request
   * @param pool the back ends that serve the model, at least one
   * @param random the source of randomness
   * @return the back end; null if none takes the request
   */
  abstract BackEnd choose(
      BackEndPicker picker, RouteRequest request, BackEnds.Pool pool, RandomGenerator random);

  private static BackEnd firstUsable(
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

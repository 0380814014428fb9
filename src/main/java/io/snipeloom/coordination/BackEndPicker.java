package io.snipeloom.coordination;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Chooses a back end for a request by a routing policy.
 *
 * <p>Thread-safe. The cost of a pick does not grow with the size of the fleet, except under the
 * policies that exist for comparison and when most back ends accept no requests. After a pick the
 * caller calls {@link BackEnd#tryBegin}; if that returns false, it picks again with that back end
 * excluded.
 */
public final class BackEndPicker {
  private final RoutingPolicy policy;
  private final PrefixIndex prefixes;
  private final LongSupplier nanoClock;
  private final AtomicInteger roundRobinCounter = new AtomicInteger();

  private BackEndPicker(RoutingPolicy policy, PrefixIndex prefixes, LongSupplier nanoClock) {
    this.policy = policy;
    this.prefixes = prefixes;
    this.nanoClock = nanoClock;
  }

  /**
   * Returns a picker.
   *
   * @param prefixes the index of cached prefixes
   * @param nanoClock a monotonic clock in nanoseconds
   */
  public static BackEndPicker of(
      RoutingPolicy policy, PrefixIndex prefixes, LongSupplier nanoClock) {
    return new BackEndPicker(policy, prefixes, nanoClock);
  }

  /**
   * Chooses a back end.
   *
   * @param candidates the back ends of the upstream
   * @param random the source of randomness
   * @return the back end; empty if none accepts the request now
   */
  public Optional<BackEnd> pick(RouteRequest request, BackEnds candidates, RandomGenerator random) {
    BackEnds.Pool pool = candidates.serving(request.model());
    if (pool.all().length == 0) {
      return Optional.empty();
    }
    return Optional.ofNullable(policy.choose(this, request, pool, random));
  }

  /**
   * Returns the index of cached prefixes, in which the caller records the prompts that it sends.
   */
  public PrefixIndex prefixes() {
    return prefixes;
  }

  long nowNanos() {
    return nanoClock.getAsLong();
  }

  int nextRoundRobinIndex(int size) {
    return Math.floorMod(roundRobinCounter.getAndIncrement(), size);
  }
}

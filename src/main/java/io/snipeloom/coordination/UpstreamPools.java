package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.state.UpstreamId;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The pools of all upstreams of a router, updated from the fleet membership.
 *
 * <p>Thread-safe; {@link #start} must be called once.
 */
public final class UpstreamPools {
  private final Function<UpstreamId, RoutingPolicy> policies;
  private final Supplier<PrefixIndex> prefixes;
  private final FleetMembership membership;
  private final LongSupplier nanoClock;
  private final MetricRegistry metrics;
  private final Map<UpstreamId, UpstreamPool> pools = new ConcurrentHashMap<>();

  /**
   * Creates the pools.
   *
   * @param policies the policy by which the back ends of each upstream are chosen
   * @param prefixes creates the index of cached prefixes for one upstream
   * @param membership provides the back ends of each upstream
   * @param nanoClock a monotonic clock in nanoseconds
   * @param metrics the registry for the metrics of the pools
   */
  public UpstreamPools(
      Function<UpstreamId, RoutingPolicy> policies,
      Supplier<PrefixIndex> prefixes,
      FleetMembership membership,
      LongSupplier nanoClock,
      MetricRegistry metrics) {
    this.policies = policies;
    this.prefixes = prefixes;
    this.membership = membership;
    this.nanoClock = nanoClock;
    this.metrics = metrics;
  }

  /**
   * Starts the periodic refresh from the membership and the load reports.
   *
   * @param scheduler the executor that runs the refreshes
   */
  public void start(ScheduledExecutorService scheduler) {
    ScheduledFuture<?> unused =
        scheduler.scheduleWithFixedDelay(
            this::refresh, 0, AdmissionQueue.SWEEP_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns the pool of an upstream and creates it on first use. */
  public UpstreamPool pool(UpstreamId upstream) {
    return pools.computeIfAbsent(upstream, this::newPool);
  }

  private UpstreamPool newPool(UpstreamId upstream) {
    UpstreamPool pool =
        UpstreamPool.of(upstream, policies.apply(upstream), prefixes.get(), nanoClock, metrics);
    refresh(pool);
    return pool;
  }

  private void refresh() {
    pools.values().forEach(this::refresh);
  }

  private void refresh(UpstreamPool pool) {
    pool.replaceBackEnds(membership.backEnds(pool.upstream()));
    pool.refresh(membership.routersPerSidecar(pool.upstream()));
  }
}

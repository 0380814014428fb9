package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.UpstreamId;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The state that a router keeps for one upstream: its back ends, admission queue, retry budget and
 * back-end picker.
 *
 * <p>Thread-safe.
 */
public final class UpstreamPool {
  private static final int INITIAL_LIMIT = 0;
  private static final int TOTAL_QUEUE_LIMIT = 10_000;

  private final UpstreamId upstream;
  private final LongSupplier nanoClock;
  private final AdmissionQueue admission;
  private final RetryBudget retryBudget;
  private final RetryPolicy retryPolicy;
  private final BackEndPicker picker;
  private volatile BackEnds backEnds = BackEnds.empty();

  private UpstreamPool(
      UpstreamId upstream,
      RoutingPolicy policy,
      PrefixIndex prefixes,
      LongSupplier nanoClock,
      MetricRegistry metrics) {
    this.upstream = upstream;
    this.nanoClock = nanoClock;
    this.admission =
        AdmissionQueue.of(upstream, INITIAL_LIMIT, TOTAL_QUEUE_LIMIT, nanoClock, metrics);
    this.retryBudget = RetryBudget.of(nanoClock);
    this.retryPolicy = RetryPolicy.of(retryBudget);
    this.picker = BackEndPicker.of(policy, prefixes, nanoClock);
  }

  /**
   * Returns a pool that has no back ends yet.
   *
   * @param policy the policy by which back ends are chosen
   * @param prefixes the index of cached prefixes
   * @param nanoClock a monotonic clock in nanoseconds
   * @param metrics the registry for the metrics of the pool
   */
  public static UpstreamPool of(
      UpstreamId upstream,
      RoutingPolicy policy,
      PrefixIndex prefixes,
      LongSupplier nanoClock,
      MetricRegistry metrics) {
    return new UpstreamPool(upstream, policy, prefixes, nanoClock, metrics);
  }

  /** Replaces the back ends after a change of membership. */
  public void replaceBackEnds(BackEnds newBackEnds) {
    backEnds = newBackEnds;
  }

  /**
   * Updates the admission limit from the load reports and removes queued requests that waited too
   * long.
   *
   * @param routers the number of routers that share the upstream, at least 1
   */
  public void refresh(int routers) {
    admission.setLimit(ConcurrencyLimit.of(backEnds, routers, nanoClock.getAsLong()));
    admission.sweep();
  }

  /** Returns the upstream. */
  public UpstreamId upstream() {
    return upstream;
  }

  /** Returns the admission queue. */
  public AdmissionQueue admission() {
    return admission;
  }

  /** Returns the retry budget that all requests to this upstream share. */
  public RetryBudget retryBudget() {
    return retryBudget;
  }

  /** Returns the retry policy. */
  public RetryPolicy retryPolicy() {
    return retryPolicy;
  }

  /** Returns the picker that chooses back ends. */
  public BackEndPicker picker() {
    return picker;
  }

  /** Returns the current back ends. */
  public BackEnds backEnds() {
    return backEnds;
  }

  /**
   * Returns the back end in a slot.
   *
   * @return the back end; empty if this router is not connected to it
   */
  public Optional<BackEnd> backEnd(InstanceId slot) {
    return backEnds.backEnd(slot);
  }
}

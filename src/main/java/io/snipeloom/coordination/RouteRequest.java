package io.snipeloom.coordination;

import io.snipeloom.state.InstanceId;
import io.snipeloom.state.ModelId;
import io.snipeloom.state.Urgency;
import io.snipeloom.state.Zone;
import java.util.HashSet;
import java.util.Set;

/**
 * The properties of a request on which the choice of a back end depends.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the requested model; null for a plain service
 * @param zone the zone of the router
 * @param prefix the hash chain of the prompt
 * @param urgency the urgency, which determines how the request is queued and retried
 * @param deadlineNanos the deadline on the clock of the picker, in nanoseconds
 * @param excluded the slots that must not be chosen, such as those already tried
 */
public record RouteRequest(
    ModelId model,
    Zone zone,
    PrefixChain prefix,
    Urgency urgency,
    long deadlineNanos,
    Set<InstanceId> excluded) {

  /** Makes an unmodifiable copy of the excluded slots. */
  public RouteRequest {
    excluded = Set.copyOf(excluded);
  }

  /**
   * Returns a copy of this request that excludes one more slot.
   *
   * @param id the slot to exclude
   */
  public RouteRequest withExcluded(InstanceId id) {
    HashSet<InstanceId> more = new HashSet<>(excluded);
    more.add(id);
    return new RouteRequest(model, zone, prefix, urgency, deadlineNanos, more);
  }
}

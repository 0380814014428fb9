package io.snipeloom.routing;

import io.snipeloom.cost.ReplicaPace;
import io.snipeloom.cost.ReplicaWork;

/**
 * What is known of the work of one incarnation of a replica.
 *
 * @param pace how long work takes there
 * @param work what requests of this instance still cost it
 * @param capacityTokens its memory, in tokens; {@link Long#MAX_VALUE} if it serves no models
 * @param tokensPerEvent the most output tokens in an event of a stream
 */
public record ReplicaCosts(
    ReplicaPace pace, ReplicaWork work, long capacityTokens, int tokensPerEvent) {

  /**
   * Creates the costs of a replica of which nothing was observed.
   *
   * @param traits the properties of its engine, or null if it serves no models
   */
  static ReplicaCosts of(EngineTraits traits) {
    return of(new ReplicaPace(), new ReplicaWork(), traits);
  }

  private static ReplicaCosts of(ReplicaPace pace, ReplicaWork work, EngineTraits traits) {
    return new ReplicaCosts(
        pace,
        work,
        traits == null ? Long.MAX_VALUE : traits.cacheTokens(),
        traits == null ? 1 : traits.tokensPerEvent());
  }

  /** Returns what was observed of a replica whose engine has other properties than was known. */
  ReplicaCosts with(EngineTraits traits) {
    return of(pace, work, traits);
  }
}

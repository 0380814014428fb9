package io.snipeloom.routing;

/**
 * A replica with the state that this instance tracks for it.
 *
 * @param replica the registry entry
 * @param load the load
 * @param health the recent behaviour
 * @param prefixCache the prompt parts that are probably cached
 * @param limit the limit that it states
 * @param willingness what it said about taking further requests
 * @param costs what requests cost it, and how fast it works
 */
public record ReplicaView(
    Replica replica,
    ReplicaLoad load,
    ReplicaHealth health,
    PrefixCacheModel prefixCache,
    ReplicaLimit limit,
    ReplicaWillingness willingness,
    ReplicaCosts costs) {

  /** The cache capacity assumed for a replica that serves no models. */
  private static final long NO_ENGINE_TOKENS = 1;

  /**
   * Creates a view with no observed load and health.
   *
   * @param replica the registry entry
   * @param traits the properties of its engine, or null if it serves no models
   */
  public static ReplicaView of(Replica replica, EngineTraits traits) {
    return new ReplicaView(
        replica,
        new ReplicaLoad(),
        new ReplicaHealth(),
        new PrefixCacheModel(cacheTokens(traits)),
        new ReplicaLimit(replica.id()),
        new ReplicaWillingness(),
        ReplicaCosts.of(traits));
  }

  private static long cacheTokens(EngineTraits traits) {
    return traits == null ? NO_ENGINE_TOKENS : traits.cacheTokens();
  }

  /**
   * Returns whether the replica wants fewer requests or none at the moment, by its own answers.
   *
   * @param nowNanos the current time
   */
  public boolean isRestrained(long nowNanos) {
    return !willingness.takesRequests(nowNanos) || limit.stated().kind() == StatedLimit.Kind.STATED;
  }

  /**
   * Returns a view of an updated entry that shares the tracked state.
   *
   * @param newer the updated entry, of the same incarnation
   */
  public ReplicaView with(Replica newer) {
    return new ReplicaView(newer, load, health, prefixCache, limit, willingness, costs);
  }

  /**
   * Returns a view that shares the tracked state, of a replica whose engine has other properties
   * than was known.
   *
   * @param traits the properties of its engine, or null if it serves no models
   */
  public ReplicaView with(EngineTraits traits) {
    prefixCache.changeCapacity(cacheTokens(traits));
    return new ReplicaView(
        replica, load, health, prefixCache, limit, willingness, costs.with(traits));
  }
}

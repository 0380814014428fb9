package io.snipeloom.routing;

/**
 * A replica with all that this instance believes of it.
 *
 * @param replica the replica
 * @param load its work
 * @param health its recent behaviour
 * @param memory the prompt parts that it probably holds
 */
public record ReplicaView(
    Replica replica, ReplicaLoad load, ReplicaHealth health, PrefixMemory memory) {

  /** The memory assumed for a replica of a service that serves no models. */
  private static final long NO_ENGINE_TOKENS = 1;

  /**
   * Returns a view without any experience.
   *
   * @param replica the replica
   * @param traits the traits of its engine, or null
   * @return the view
   */
  public static ReplicaView of(Replica replica, EngineTraits traits) {
    long tokens = traits == null ? NO_ENGINE_TOKENS : traits.cacheTokens();
    return new ReplicaView(
        replica, new ReplicaLoad(), new ReplicaHealth(), new PrefixMemory(tokens));
  }

  /**
   * Returns the same experience with a newer entry of the same incarnation.
   *
   * @param newer the newer entry
   * @return the view
   */
  public ReplicaView with(Replica newer) {
    return new ReplicaView(newer, load, health, memory);
  }
}

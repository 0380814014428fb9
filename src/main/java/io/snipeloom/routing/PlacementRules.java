package io.snipeloom.routing;

/**
 * In which availability zones requests may be processed: in none that operators evacuate, and only
 * in regions that the request allows. Not thread-safe.
 */
public final class PlacementRules {
  private final Places places;
  private final Evacuations evacuations = new Evacuations();

  /**
   * Creates rules without an evacuation.
   *
   * @param places the regions of the availability zones
   */
  public PlacementRules(Places places) {
    this.places = places;
  }

  /** Returns the evacuations in force. */
  public Evacuations evacuations() {
    return evacuations;
  }

  /**
   * Returns whether a replica is in a zone that is not being evacuated.
   *
   * @param replica the replica
   */
  public boolean isInService(Replica replica) {
    return !evacuations.contains(replica.zone());
  }

  /**
   * Returns whether a replica is where a request may be processed.
   *
   * @param replica the replica
   * @param homes the regions that the request allows
   */
  public boolean isAtHome(Replica replica, Homes homes) {
    return homes.allows(replica.zone(), places);
  }
}

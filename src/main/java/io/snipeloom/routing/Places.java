package io.snipeloom.routing;

import java.util.Map;
import java.util.Optional;

/**
 * Where an instance runs, and which availability zones lie in which regions. Immutable.
 *
 * @param region the region of the instance, empty if unknown
 * @param regionsByZone the region of each availability zone, by zone
 */
public record Places(String region, Map<String, String> regionsByZone) {
  /** The places of an instance whose settings name none. */
  public static final Places UNKNOWN = new Places("", Map.of());

  /** Copies the map. */
  public Places {
    regionsByZone = Map.copyOf(regionsByZone);
  }

  /**
   * Returns the region of an availability zone.
   *
   * @param zone the availability zone
   * @return the region, empty if the zone is unknown
   */
  public Optional<String> regionOf(String zone) {
    return Optional.ofNullable(regionsByZone.get(zone));
  }
}

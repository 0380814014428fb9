package io.snipeloom.routing;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The regions in which requests may be processed. Immutable.
 *
 * @param regions the regions; empty if there is no restriction. An empty set allows no region
 */
public record Homes(Optional<Set<String>> regions) {
  /** The homes of requests that may be processed everywhere. */
  public static final Homes EVERYWHERE = new Homes(Optional.empty());

  /** The homes of requests that may be processed nowhere, because they cannot be read. */
  public static final Homes NOWHERE = new Homes(Optional.of(Set.of()));

  /** Copies the regions. */
  public Homes {
    regions = regions.map(Set::copyOf);
  }

  /**
   * Returns the homes of some regions.
   *
   * @param regions the regions
   */
  public static Homes of(Set<String> regions) {
    return new Homes(Optional.of(regions));
  }

  /**
   * Returns the regions that both allow.
   *
   * @param other the other homes
   */
  public Homes and(Homes other) {
    if (regions.isEmpty()) {
      return other;
    }
    if (other.regions.isEmpty()) {
      return this;
    }
    Set<String> common = new HashSet<>(regions.get());
    common.retainAll(other.regions.get());
    return of(common);
  }

  /** Returns whether requests may be processed everywhere. */
  public boolean isEverywhere() {
    return regions.isEmpty();
  }

  /**
   * Returns whether requests may be processed in an availability zone.
   *
   * @param zone the availability zone
   * @param places the regions of the zones
   * @return false if homes bind and the region of the zone is none of them or is not known
   */
  public boolean allows(String zone, Places places) {
    return regions.isEmpty() || places.regionOf(zone).filter(regions.get()::contains).isPresent();
  }
}

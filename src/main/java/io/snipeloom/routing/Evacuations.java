package io.snipeloom.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * The availability zones whose replicas get no further request, as operators ordered it.
 *
 * <p>A record ends an evacuation at once. An evacuation that is missing from a listing of the
 * orders goes on for a while, because the listing may be outdated, in which case the records that
 * follow it contain the order. Once the store has come back from an older copy of itself, an
 * evacuation that it has lost ends only by a record. Not thread-safe.
 */
public final class Evacuations {
  /** How long an outdated listing can keep an evacuation out of sight. */
  private static final long UNLISTED_NANOS = 5_000_000_000L;

  private final Map<String, Evacuation> zones = new HashMap<>();

  /** What is known of an evacuation. */
  private record Evacuation(boolean unlisted, long unlistedSinceNanos, boolean lost) {
    static final Evacuation ORDERED = new Evacuation(false, 0, false);

    Evacuation missing(long nowNanos) {
      return unlisted || lost ? this : new Evacuation(true, nowNanos, false);
    }

    boolean isOver(long nowNanos) {
      return unlisted && !lost && nowNanos - unlistedSinceNanos >= UNLISTED_NANOS;
    }
  }

  /**
   * Begins an evacuation.
   *
   * @param zone the availability zone
   * @return false if the zone is being evacuated already
   */
  public boolean order(String zone) {
    return zones.put(zone, Evacuation.ORDERED) == null;
  }

  /**
   * Ends an evacuation by a record.
   *
   * @param zone the availability zone
   * @return false if the zone is not being evacuated
   */
  public boolean takeBack(String zone) {
    return zones.remove(zone) != null;
  }

  /**
   * Records a complete listing of the orders.
   *
   * @param listed the availability zones that are to be evacuated
   * @param nowNanos the current time
   * @return the zones whose evacuation begins
   */
  public Set<String> replaceAll(Collection<String> listed, long nowNanos) {
    Set<String> begun = new HashSet<>();
    for (String zone : listed) {
      if (order(zone)) {
        begun.add(zone);
      }
    }
    zones.replaceAll(
        (zone, known) -> listed.contains(zone) ? Evacuation.ORDERED : known.missing(nowNanos));
    return begun;
  }

  /** Records that the store came back from an older copy, which may lack orders. */
  public void onStoreReverted() {
    zones.replaceAll((zone, known) -> new Evacuation(known.unlisted(), 0, true));
  }

  /**
   * Ends the evacuations that have been missing from listings for long enough.
   *
   * @param nowNanos the current time
   * @return the zones whose evacuation has ended
   */
  public Set<String> endMissing(long nowNanos) {
    Set<String> ended = new HashSet<>();
    Iterator<Map.Entry<String, Evacuation>> entries = zones.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, Evacuation> entry = entries.next();
      if (entry.getValue().isOver(nowNanos)) {
        ended.add(entry.getKey());
        entries.remove();
      }
    }
    return ended;
  }

  /**
   * Returns whether the replicas of an availability zone get no further request.
   *
   * @param zone the availability zone
   */
  public boolean contains(String zone) {
    return zones.containsKey(zone);
  }

  /** Returns whether no zone is being evacuated. */
  public boolean isEmpty() {
    return zones.isEmpty();
  }
}

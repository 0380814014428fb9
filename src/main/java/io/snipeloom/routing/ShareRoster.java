package io.snipeloom.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Which instances may hold a share of a bound that is divided among the fleet, so that all who do
 * know each other.
 *
 * <p>An instance is entitled while the store has lately accepted its heartbeats and listed those of
 * the others to it. One that starts, or that was away for longer, waits until every other one has
 * either seen its heartbeat or is no longer entitled itself. An instance is taken off only when its
 * heartbeat has stayed the same for longer than it remains entitled by it. Hence every entitled
 * instance has every other one in its roster, whatever else it knows, and a bound that each divides
 * by its own roster holds in sum. Not thread-safe.
 */
public final class ShareRoster {
  /** How long an instance remains entitled after its last heartbeat or listing was begun. */
  private static final long ENTITLED_NANOS = 12_000_000_000L;

  /** How long an instance waits after its first heartbeat; longer than others remain entitled. */
  private static final long JOINING_NANOS = 13_000_000_000L;

  /** How long an unchanged heartbeat keeps an instance in the roster. */
  private static final long UNCHANGED_NANOS = 15_000_000_000L;

  private final Map<String, Heartbeat> heartbeats = new HashMap<>();
  private boolean joined;
  private long joinedNanos;
  private long lastHeartbeatNanos;
  private boolean listed;
  private long lastListingNanos;

  /** A heartbeat and when it was first listed. */
  private record Heartbeat(String text, long firstListedNanos) {}

  /**
   * Records that the store has accepted a heartbeat of this instance.
   *
   * @param sentNanos when it was sent
   * @param nowNanos the current time
   */
  public void onHeartbeat(long sentNanos, long nowNanos) {
    if (!joined || nowNanos - lastHeartbeatNanos > ENTITLED_NANOS) {
      joined = true;
      joinedNanos = nowNanos;
    }
    lastHeartbeatNanos = sentNanos;
  }

  /**
   * Records a complete listing of the heartbeats.
   *
   * @param listing the newest heartbeat of each instance, by its name
   * @param sentNanos when the listing was asked for
   * @param nowNanos the current time
   */
  public void onListing(Map<String, String> listing, long sentNanos, long nowNanos) {
    listing.forEach(
        (name, text) -> {
          Heartbeat known = heartbeats.get(name);
          if (known == null || !known.text().equals(text)) {
            heartbeats.put(name, new Heartbeat(text, nowNanos));
          }
        });
    listed = true;
    lastListingNanos = sentNanos;
  }

  /**
   * Returns whether this instance may use a share.
   *
   * @param nowNanos the current time
   */
  public boolean isEntitled(long nowNanos) {
    return joined
        && listed
        && nowNanos - joinedNanos >= JOINING_NANOS
        && nowNanos - lastHeartbeatNanos < ENTITLED_NANOS
        && nowNanos - lastListingNanos < ENTITLED_NANOS;
  }

  /** Returns the instances among which bounds are divided, as they were listed last. */
  public Collection<String> members() {
    return heartbeats.entrySet().stream()
        .filter(entry -> lastListingNanos - entry.getValue().firstListedNanos() < UNCHANGED_NANOS)
        .map(Map.Entry::getKey)
        .toList();
  }
}

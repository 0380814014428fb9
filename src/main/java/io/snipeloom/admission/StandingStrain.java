package io.snipeloom.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * The strain of each kind of request that lasted, which is the least of the recent ones. Not
 * thread-safe.
 *
 * <p>A wait that ends by itself within a fraction of a second is no reason to refuse anybody. A
 * kind that was not looked at for some seconds has no strain.
 */
final class StandingStrain {
  /** The least strain of two such windows, the one before and the current one, counts. */
  private static final long WINDOW_NANOS = 200_000_000L;

  /** The age from which a window before says nothing about the present. */
  private static final long MAX_AGE_NANOS = 2_000_000_000L;

  private final Map<KindProfiles.Profile, Windows> byKind = new HashMap<>();

  private static final class Windows {
    private KindStrain before = KindStrain.NONE;
    private KindStrain current;
    private long startNanos;
    private long lastNanos;

    private Windows(KindStrain seen, long nowNanos) {
      current = seen;
      startNanos = nowNanos;
      lastNanos = nowNanos;
    }

    private KindStrain add(KindStrain seen, long nowNanos) {
      if (nowNanos - startNanos < WINDOW_NANOS) {
        current = least(current, seen);
      } else {
        before = nowNanos - lastNanos > MAX_AGE_NANOS ? KindStrain.NONE : current;
        current = seen;
        startNanos = nowNanos;
      }
      lastNanos = nowNanos;
      return least(before, current);
    }

    private static KindStrain least(KindStrain one, KindStrain other) {
      return one.strain() < other.strain() ? one : other;
    }
  }

  /** Records the strain of a kind and returns the least of the recent ones. */
  KindStrain record(KindProfiles.Profile kind, KindStrain seen, long nowNanos) {
    byKind.keySet().removeIf(known -> known.isForgotten(nowNanos));
    Windows windows = byKind.get(kind);
    if (windows == null) {
      byKind.put(kind, new Windows(seen, nowNanos));
      return KindStrain.NONE;
    }
    return windows.add(seen, nowNanos);
  }
}

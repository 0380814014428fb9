package io.snipeloom.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

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

  /** How long a strain counts as the present one; each look asks for all replicas. */
  private static final long FRESH_NANOS = 50_000_000L;

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

    private boolean isFresh(long nowNanos) {
      return nowNanos - lastNanos < FRESH_NANOS;
    }

    private KindStrain least() {
      return lesser(before, current);
    }

    private KindStrain add(KindStrain seen, long nowNanos) {
      if (nowNanos - startNanos < WINDOW_NANOS) {
        current = lesser(current, seen);
      } else {
        before = nowNanos - lastNanos > MAX_AGE_NANOS ? KindStrain.NONE : current;
        current = seen;
        startNanos = nowNanos;
      }
      lastNanos = nowNanos;
      return least();
    }

    private static KindStrain lesser(KindStrain one, KindStrain other) {
      return one.strain() < other.strain() ? one : other;
    }
  }

  /**
   * Returns the least of the recent strains of a kind.
   *
   * @param kind the kind
   * @param look determines the strain now, unless it was determined just before
   * @param nowNanos the current time
   */
  KindStrain of(KindProfiles.Profile kind, Supplier<KindStrain> look, long nowNanos) {
    byKind.keySet().removeIf(known -> known.isForgotten(nowNanos));
    Windows windows = byKind.get(kind);
    if (windows == null) {
      byKind.put(kind, new Windows(look.get(), nowNanos));
      return KindStrain.NONE;
    }
    return windows.isFresh(nowNanos) ? windows.least() : windows.add(look.get(), nowNanos);
  }
}

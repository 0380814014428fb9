package io.snipeloom.state;

import java.util.EnumSet;
import java.util.Set;

/**
 * Bounds of what the decision state remembers. All readers of a stream must use the same bounds,
 * since forgetting is part of the decisions.
 *
 * @param writerMemoryOffsets the offsets for which an idle writer is remembered
 * @param callMemory the calls that may not be repeated that are remembered
 * @param billMemory the billed request keys that are remembered
 * @param closedMemory the released holders that are remembered
 * @param estimateMemory the estimated settlements that an exact one can still replace
 * @param settledRanges the ranges of settled attempt numbers that are remembered of one holder
 * @param crashMemory the suspects, and the convictions, that are remembered
 * @param convictionOffsets the offsets after which a suspicion or conviction expires
 * @param disabledGuards guards left out, empty outside tests
 */
record DecisionLimits(
    long writerMemoryOffsets,
    int callMemory,
    int billMemory,
    int closedMemory,
    int estimateMemory,
    int settledRanges,
    int crashMemory,
    long convictionOffsets,
    Set<Guard> disabledGuards) {

  /** The bounds in use outside tests. */
  static final DecisionLimits DEFAULT =
      new DecisionLimits(
          1_000_000, 200_000, 1_000_000, 16_384, 65_536, 256, 4_096, 20_000_000, Set.of());

  /** Copies the guards. */
  DecisionLimits {
    disabledGuards =
        disabledGuards.isEmpty() ? Set.of() : Set.copyOf(EnumSet.copyOf(disabledGuards));
  }

  /**
   * Returns whether a guard is in force.
   *
   * @param guard the guard
   * @return false only in a test that shows what the guard prevents
   */
  boolean isEnabled(Guard guard) {
    return !disabledGuards.contains(guard);
  }

  /** The rules whose absence a test makes visible. */
  enum Guard {
    DEDUPLICATION,
    STALE_WINDOW,
    DRAIN_BARRIER,
    ESTIMATE_REPLACEMENT,
    BILL_MEMORY,
    FIRST_INTENT_WINS,
    KEY_WATERMARK,
    SNAPSHOT_CONTINUITY
  }
}

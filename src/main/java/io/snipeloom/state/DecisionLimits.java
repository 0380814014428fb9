package io.snipeloom.state;

import java.util.EnumSet;
import java.util.Set;

/**
 * Limits on what the decision state retains. All readers of a stream must use the same limits,
 * because evictions affect later decisions.
 *
 * @param writerRetentionOffsets the number of offsets for which an idle writer is retained
 * @param maxCalls the maximum number of retained non-idempotent calls
 * @param maxBilledKeys the maximum number of retained billed request keys
 * @param maxReleasedHolders the number of released holders above which the oldest are evicted, once
 *     they are older than the retention of writers
 * @param maxEstimates the maximum number of estimated settlements that can still be replaced by an
 *     exact one
 * @param maxSettledRanges the maximum number of ranges of settled attempt numbers per holder
 * @param maxCrashEntries the maximum number of retained suspects and, separately, of convictions
 * @param crashRetentionOffsets the number of offsets after which a suspicion or conviction expires
 * @param disabledGuards the guards to disable; empty outside tests
 */
record DecisionLimits(
    long writerRetentionOffsets,
    int maxCalls,
    int maxBilledKeys,
    int maxReleasedHolders,
    int maxEstimates,
    int maxSettledRanges,
    int maxCrashEntries,
    long crashRetentionOffsets,
    Set<Guard> disabledGuards) {

  /** The limits used outside tests. */
  static final DecisionLimits DEFAULT =
      new DecisionLimits(
          1_000_000, 200_000, 1_000_000, 16_384, 65_536, 256, 4_096, 20_000_000, Set.of());

  /** Copies the guards. */
  DecisionLimits {
    disabledGuards =
        disabledGuards.isEmpty() ? Set.of() : Set.copyOf(EnumSet.copyOf(disabledGuards));
  }

  /**
   * Returns whether a guard is enabled.
   *
   * @return false only in a test that shows which fault the guard prevents
   */
  boolean isEnabled(Guard guard) {
    return !disabledGuards.contains(guard);
  }

  /** Safety rules that a test can disable to show which fault each one prevents. */
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

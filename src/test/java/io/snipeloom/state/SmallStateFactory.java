package io.snipeloom.state;

import io.snipeloom.state.DecisionLimits.Guard;
import java.util.EnumSet;
import java.util.Set;

/** Creates decision states and assemblers with small limits and optionally without one guard. */
public final class SmallStateFactory {
  private final DecisionLimits limits;

  private SmallStateFactory(DecisionLimits limits) {
    this.limits = limits;
  }

  /**
   * Returns a factory with one guard disabled.
   *
   * @param guard the name of the guard; empty to disable none
   */
  public static SmallStateFactory without(String guard) {
    Set<Guard> disabled =
        guard.isEmpty() ? EnumSet.noneOf(Guard.class) : EnumSet.of(Guard.valueOf(guard));
    return new SmallStateFactory(new DecisionLimits(25, 6, 6, 4, 64, 64, 8, 200, disabled));
  }

  /** Returns an empty state. */
  public DecisionState empty() {
    return DecisionState.empty(limits);
  }

  /** Returns an assembler for a reader that starts at the given offset. */
  public SnapshotAssembler assembler(long firstOffset) {
    return SnapshotAssembler.startingAt(firstOffset, limits);
  }
}

package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A router incarnation that holds claimed tokens.
 *
 * <p>Its awaited set contains the indexes of the sidecars for which a drain report is outstanding.
 * While the holder is open, these are the lost sidecars to which it may have sent work that is not
 * yet settled. Once it is closed, these are all sidecars that may have unsettled work from it.
 */
final class Holder {
  private static final long NOT_RELEASED = -1;

  private final Incarnation id;
  private final BitSet awaited = new BitSet();
  private final Set<BudgetId> budgets = new TreeSet<>();
  private final SequenceRanges settled;
  private Phase phase = Phase.OPEN;
  private long releasedAt = NOT_RELEASED;

  Holder(Incarnation id, SequenceRanges settled) {
    this.id = id;
    this.settled = settled;
  }

  Incarnation id() {
    return id;
  }

  BitSet awaited() {
    return awaited;
  }

  Set<BudgetId> budgets() {
    return budgets;
  }

  SequenceRanges settled() {
    return settled;
  }

  Phase phase() {
    return phase;
  }

  boolean isOpen() {
    return phase == Phase.OPEN;
  }

  long releasedAt() {
    return releasedAt;
  }

  void close() {
    phase = Phase.CLOSED;
  }

  void release(long offset) {
    phase = Phase.RELEASED;
    releasedAt = offset;
  }

  void restore(Image image) {
    phase = image.phase();
    releasedAt = image.releasedAt();
    budgets.addAll(image.budgets());
  }

  /** The life-cycle phase of a holder. */
  enum Phase {
    /** The holder may claim and spend tokens. */
    OPEN,
    /** The holder is closed; its unspent tokens are kept back until all drain reports are in. */
    CLOSED,
    /** The unspent tokens of the holder have been returned to the pools or written off. */
    RELEASED
  }

  /** The holder as stored in a snapshot; awaited sidecars are given by their index there. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Image(
      Incarnation id,
      Phase phase,
      long releasedAt,
      List<Integer> awaited,
      List<BudgetId> budgets,
      SequenceRanges.Image settled) {}
}

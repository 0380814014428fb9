package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A router incarnation that holds claims.
 *
 * <p>Its awaited set has the indexes of the sidecars whose report is missing: while it is open, the
 * lost sidecars to which it may have sent unsettled work; once it is closed, all sidecars that may
 * have unsettled work of it.
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

  /** The life of a holder. */
  enum Phase {
    /** It claims and spends. */
    OPEN,
    /** It is closed, and its remainder waits for the reports of sidecars. */
    CLOSED,
    /** Its remainder is back in the pools or written off. */
    RELEASED
  }

  /** The holder in a snapshot; awaited sidecars by their place in the snapshot. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Image(
      Incarnation id,
      Phase phase,
      long releasedAt,
      List<Integer> awaited,
      List<BudgetId> budgets,
      SequenceRanges.Image settled) {}
}

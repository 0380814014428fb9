package io.snipeloom.state;

import io.snipeloom.state.DecisionEvent.DropReason;
import io.snipeloom.state.DecisionLimits.Guard;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Remembers the last batch of each writer, in the order of their last batches. */
final class WriterTable {
  private final DecisionLimits limits;
  private final Map<Incarnation, LastBatch> writers = new LinkedHashMap<>();

  WriterTable(DecisionLimits limits) {
    this.limits = limits;
  }

  /**
   * Notes a batch unless it must have no effect.
   *
   * <p>A batch that is sent again was built before its first copy entered the log. A writer is
   * forgotten only when that first copy lies before the window, and then the second copy is stale.
   */
  Optional<DropReason> admit(long offset, RecordBatch batch) {
    forgetIdle(offset);
    if (batch.basedOn() >= offset) {
      return Optional.of(DropReason.INVALID);
    }
    LastBatch last = writers.get(batch.writer());
    if (last != null
        && batch.sequence() <= last.sequence()
        && limits.isEnabled(Guard.DEDUPLICATION)) {
      return Optional.of(DropReason.DUPLICATE);
    }
    if (batch.basedOn() < offset - limits.writerMemoryOffsets()
        && limits.isEnabled(Guard.STALE_WINDOW)) {
      return Optional.of(DropReason.STALE);
    }
    writers.remove(batch.writer());
    writers.put(batch.writer(), new LastBatch(batch.writer(), batch.sequence(), offset));
    return Optional.empty();
  }

  private void forgetIdle(long offset) {
    Iterator<LastBatch> oldest = writers.values().iterator();
    while (oldest.hasNext() && oldest.next().offset() < offset - limits.writerMemoryOffsets()) {
      oldest.remove();
    }
  }

  List<LastBatch> image() {
    return List.copyOf(writers.values());
  }

  void restore(List<LastBatch> image) {
    image.forEach(last -> writers.put(last.writer(), last));
  }

  int size() {
    return writers.size();
  }

  /** The last batch of a writer that had an effect. */
  record LastBatch(Incarnation writer, long sequence, long offset) {}
}

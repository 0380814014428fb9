package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.snipeloom.state.DecisionEvent.DropReason;
import io.snipeloom.state.DecisionLimits.Guard;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Retains the last batch of each writer, in log order. */
final class WriterTable {
  private static final long NO_STALE_BATCH = -1;

  private final DecisionLimits limits;
  private final Map<Incarnation, LastBatch> writers = new LinkedHashMap<>();

  WriterTable(DecisionLimits limits) {
    this.limits = limits;
  }

  /**
   * Records a batch as the last one of its writer. Returns the reason if the batch must be dropped;
   * empty if it is to be applied.
   *
   * <p>A writer is evicted only once its last batch lies before the retention window. A duplicate
   * of a batch is based on the same offset as the original, which is lower than the log offset of
   * the original, so a duplicate that is read after the eviction is dropped as stale.
   *
   * <p>After a stale batch, every later batch that its writer built before it had applied the stale
   * one is stale too. The records of a writer therefore take effect in the order in which it wrote
   * them.
   */
  Optional<DropReason> admit(long offset, RecordBatch batch) {
    evictIdle(offset);
    if (batch.basedOn() >= offset) {
      return Optional.of(DropReason.INVALID);
    }
    LastBatch last = writers.get(batch.writer());
    if (last != null
        && batch.sequence() <= last.sequence()
        && limits.isEnabled(Guard.DEDUPLICATION)) {
      return Optional.of(DropReason.DUPLICATE);
    }
    long staleAt = last == null ? NO_STALE_BATCH : last.staleAt();
    boolean stale =
        batch.basedOn() < offset - limits.writerRetentionOffsets() || batch.basedOn() < staleAt;
    boolean dropped = stale && limits.isEnabled(Guard.STALE_WINDOW);
    writers.remove(batch.writer());
    writers.put(
        batch.writer(),
        new LastBatch(batch.writer(), batch.sequence(), offset, dropped ? offset : staleAt));
    return dropped ? Optional.of(DropReason.STALE) : Optional.empty();
  }

  private void evictIdle(long offset) {
    Iterator<LastBatch> oldest = writers.values().iterator();
    while (oldest.hasNext() && oldest.next().offset() < offset - limits.writerRetentionOffsets()) {
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

  /** The last batch of a writer; {@code staleAt} is the offset of its last stale batch, or -1. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record LastBatch(Incarnation writer, long sequence, long offset, long staleAt) {}
}

package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.snipeloom.state.DecisionEvent.DropReason;
import io.snipeloom.state.DecisionLimits.Guard;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Remembers the last batch of each writer, in the order of their last batches. */
final class WriterTable {
  private static final long NEVER = -1;

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
   *
   * <p>After a stale batch, every batch that its writer built before it could see this is stale
   * too, so that the records of a writer have their effect in the order in which it wrote them.
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
    long staleAt = last == null ? NEVER : last.staleAt();
    boolean stale =
        batch.basedOn() < offset - limits.writerMemoryOffsets() || batch.basedOn() < staleAt;
    boolean dropped = stale && limits.isEnabled(Guard.STALE_WINDOW);
    writers.remove(batch.writer());
    writers.put(
        batch.writer(),
        new LastBatch(batch.writer(), batch.sequence(), offset, dropped ? offset : staleAt));
    return dropped ? Optional.of(DropReason.STALE) : Optional.empty();
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

  /** The last batch of a writer, and the offset of its last stale one. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record LastBatch(Incarnation writer, long sequence, long offset, long staleAt) {}
}

package io.snipeloom.coordination;

import io.snipeloom.state.RecordBatch;
import io.snipeloom.state.RecordCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * An in-memory log that can be unavailable, append duplicates of batches after a delay and drop old
 * batches.
 */
final class ScheduleLog {
  private final List<RecordBatch> batches = new ArrayList<>();
  private final List<byte[]> duplicates = new ArrayList<>();
  private final BiConsumer<Long, RecordBatch> appendListener;
  private long firstRetained;
  private boolean down;

  ScheduleLog(BiConsumer<Long, RecordBatch> appendListener) {
    this.appendListener = appendListener;
  }

  long nextOffset() {
    return batches.size();
  }

  long firstRetained() {
    return firstRetained;
  }

  RecordBatch batchAt(long offset) {
    return batches.get((int) offset);
  }

  boolean isDown() {
    return down;
  }

  void setDown(boolean newDown) {
    down = newDown;
  }

  void append(byte[] bytes) {
    RecordBatch batch = RecordCodec.decode(bytes);
    batches.add(batch);
    appendListener.accept(nextOffset() - 1, batch);
  }

  void keepDuplicate(byte[] bytes) {
    duplicates.add(bytes);
  }

  int duplicateCount() {
    return duplicates.size();
  }

  void appendDuplicate(int index) {
    append(duplicates.get(index));
  }

  void dropBefore(long offset) {
    firstRetained = Math.max(firstRetained, Math.min(offset, nextOffset()));
  }
}

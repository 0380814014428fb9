package io.snipeloom.coordination;

import io.snipeloom.state.RecordBatch;
import io.snipeloom.state.RecordCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/** A log in memory that can be down, lose answers, deliver late copies and forget old records. */
final class ScheduleLog {
  private final List<RecordBatch> batches = new ArrayList<>();
  private final List<byte[]> lateCopies = new ArrayList<>();
  private final BiConsumer<Long, RecordBatch> auditor;
  private long firstRetained;
  private boolean down;

  ScheduleLog(BiConsumer<Long, RecordBatch> auditor) {
    this.auditor = auditor;
  }

  long next() {
    return batches.size();
  }

  long firstRetained() {
    return firstRetained;
  }

  RecordBatch at(long offset) {
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
    auditor.accept(next() - 1, batch);
  }

  void keepLateCopy(byte[] bytes) {
    lateCopies.add(bytes);
  }

  int lateCopies() {
    return lateCopies.size();
  }

  void deliverLateCopy(int index) {
    append(lateCopies.get(index));
  }

  void forgetBefore(long offset) {
    firstRetained = Math.max(firstRetained, Math.min(offset, next()));
  }
}

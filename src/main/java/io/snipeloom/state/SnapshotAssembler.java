package io.snipeloom.state;

import io.snipeloom.state.DecisionLimits.Guard;
import io.snipeloom.state.DecisionRecord.SnapshotChunk;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Splits a snapshot into chunks for the decision stream and reassembles a usable snapshot from it.
 *
 * <p>A reader that starts at the first retained offset offers each batch until a state is returned.
 * It then continues to read at the offset after {@link DecisionState#appliedOffset()}. If the log
 * has dropped that offset in the meantime, {@link DecisionState#canContinueFrom} returns false and
 * the reader starts again with a new assembler. Duplicate chunks are ignored. Not thread-safe.
 */
public final class SnapshotAssembler {
  /** The maximum number of snapshot bytes in one chunk. */
  public static final int MAX_CHUNK_BYTES = 256 * 1024;

  private static final int MAX_PARTIAL_SNAPSHOTS = 8;
  private static final int MAX_CHUNKS = 4096;

  private final DecisionLimits limits;
  private final long firstOffset;
  private final Map<Incarnation, PartialSnapshot> partials = new LinkedHashMap<>();

  private SnapshotAssembler(DecisionLimits limits, long firstOffset) {
    this.limits = limits;
    this.firstOffset = firstOffset;
  }

  /**
   * Returns an assembler for a reader that starts at the given offset.
   *
   * @param firstOffset the first offset that the log still retains
   */
  public static SnapshotAssembler startingAt(long firstOffset) {
    return startingAt(firstOffset, DecisionLimits.DEFAULT);
  }

  static SnapshotAssembler startingAt(long firstOffset, DecisionLimits limits) {
    return new SnapshotAssembler(limits, firstOffset);
  }

  /**
   * Splits a snapshot of a state into chunks, which must be written in order, each in its own
   * batch.
   */
  public static List<SnapshotChunk> split(DecisionState state) {
    byte[] bytes = state.snapshot();
    int count = Math.max(1, (bytes.length + MAX_CHUNK_BYTES - 1) / MAX_CHUNK_BYTES);
    List<SnapshotChunk> chunks = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      int from = index * MAX_CHUNK_BYTES;
      int to = Math.min(bytes.length, from + MAX_CHUNK_BYTES);
      byte[] part = Arrays.copyOfRange(bytes, from, to);
      chunks.add(new SnapshotChunk(state.appliedOffset(), index, count, part));
    }
    return chunks;
  }

  /**
   * Processes the next batch of the log.
   *
   * @return the state to continue from; empty until a usable snapshot is complete
   */
  public Optional<DecisionState> offer(RecordBatch batch) {
    for (DecisionRecord record : batch.records()) {
      if (record instanceof SnapshotChunk chunk) {
        Optional<DecisionState> state = offer(batch.writer(), chunk);
        if (state.isPresent()) {
          return state;
        }
      }
    }
    return Optional.empty();
  }

  private Optional<DecisionState> offer(Incarnation writer, SnapshotChunk chunk) {
    PartialSnapshot partial = partials.get(writer);
    if (chunk.index() == 0 && (partial == null || !partial.matches(chunk))) {
      partial = new PartialSnapshot(chunk);
      retain(writer, partial);
    }
    if (partial == null || !partial.add(chunk) || !partial.isComplete()) {
      return Optional.empty();
    }
    partials.remove(writer);
    return restore(chunk.asOf(), partial);
  }

  private void retain(Incarnation writer, PartialSnapshot partial) {
    partials.remove(writer);
    partials.put(writer, partial);
    if (partials.size() > MAX_PARTIAL_SNAPSHOTS) {
      Iterator<PartialSnapshot> oldest = partials.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  private Optional<DecisionState> restore(long asOf, PartialSnapshot partial) {
    boolean continuable = firstOffset <= asOf + 1;
    if (!continuable && limits.isEnabled(Guard.SNAPSHOT_CONTINUITY)) {
      return Optional.empty();
    }
    try {
      DecisionState state = DecisionState.restore(partial.bytes(), limits);
      return state.appliedOffset() == asOf ? Optional.of(state) : Optional.empty();
    } catch (SnipeloomException e) {
      return Optional.empty();
    }
  }

  /** The chunks received so far of a snapshot. */
  private static final class PartialSnapshot {
    private final long asOf;
    private final int count;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private int nextIndex;

    private PartialSnapshot(SnapshotChunk first) {
      this.asOf = first.asOf();
      this.count = first.count();
    }

    private boolean matches(SnapshotChunk chunk) {
      return chunk.asOf() == asOf && chunk.count() == count;
    }

    /** Adds the chunk if it is the next one of this snapshot, and returns whether it was added. */
    private boolean add(SnapshotChunk chunk) {
      boolean next = matches(chunk) && chunk.index() == nextIndex && count <= MAX_CHUNKS;
      if (next) {
        bytes.writeBytes(chunk.data());
        nextIndex++;
      }
      return next;
    }

    private boolean isComplete() {
      return nextIndex == count;
    }

    private byte[] bytes() {
      return bytes.toByteArray();
    }
  }
}

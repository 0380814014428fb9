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
 * Cuts a snapshot into chunks for the decision stream, and finds a usable one there.
 *
 * <p>A reader that starts at the first retained offset offers each batch until a state comes back.
 * It then reads on from the offset after {@link DecisionState#appliedOffset()}. If the log dropped
 * that offset meanwhile, {@link DecisionState#canContinueFrom} is false and the reader starts over
 * with a new assembler. Second copies of a chunk do no harm. Not thread-safe.
 */
public final class SnapshotAssembler {
  /** The most bytes of a snapshot in one chunk. */
  public static final int MAX_CHUNK_BYTES = 256 * 1024;

  private static final int MAX_PARTIAL_SNAPSHOTS = 8;
  private static final int MAX_CHUNKS = 4096;

  private final DecisionLimits limits;
  private final long firstOffset;
  private final Map<Incarnation, Partial> partials = new LinkedHashMap<>();

  private SnapshotAssembler(DecisionLimits limits, long firstOffset) {
    this.limits = limits;
    this.firstOffset = firstOffset;
  }

  /**
   * Returns an assembler for a reader that starts at an offset.
   *
   * @param firstOffset the first offset that the log still keeps
   * @return the assembler
   */
  public static SnapshotAssembler startingAt(long firstOffset) {
    return startingAt(firstOffset, DecisionLimits.DEFAULT);
  }

  static SnapshotAssembler startingAt(long firstOffset, DecisionLimits limits) {
    return new SnapshotAssembler(limits, firstOffset);
  }

  /**
   * Returns the chunks of a snapshot, each to be written in a batch of its own, in order.
   *
   * @param state the state
   * @return the chunks
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
   * Takes the next batch of the log.
   *
   * @param batch the batch
   * @return the state to go on from; empty while there is none
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
    Partial partial = partials.get(writer);
    if (chunk.index() == 0 && (partial == null || !partial.belongs(chunk))) {
      partial = new Partial(chunk);
      remember(writer, partial);
    }
    if (partial == null || !partial.add(chunk) || !partial.isWhole()) {
      return Optional.empty();
    }
    partials.remove(writer);
    return restore(chunk.asOf(), partial);
  }

  private void remember(Incarnation writer, Partial partial) {
    partials.remove(writer);
    partials.put(writer, partial);
    if (partials.size() > MAX_PARTIAL_SNAPSHOTS) {
      Iterator<Partial> oldest = partials.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  private Optional<DecisionState> restore(long asOf, Partial partial) {
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

  /** The first chunks of a snapshot. */
  private static final class Partial {
    private final long asOf;
    private final int count;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private int nextIndex;

    private Partial(SnapshotChunk first) {
      this.asOf = first.asOf();
      this.count = first.count();
    }

    private boolean belongs(SnapshotChunk chunk) {
      return chunk.asOf() == asOf && chunk.count() == count;
    }

    /** Adds the chunk if it is the next one. */
    private boolean add(SnapshotChunk chunk) {
      boolean next = belongs(chunk) && chunk.index() == nextIndex && count <= MAX_CHUNKS;
      if (next) {
        bytes.writeBytes(chunk.data());
        nextIndex++;
      }
      return next;
    }

    private boolean isWhole() {
      return nextIndex == count;
    }

    private byte[] bytes() {
      return bytes.toByteArray();
    }
  }
}

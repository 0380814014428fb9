package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.snipeloom.state.DecisionRecord.SnapshotChunk;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Tracks which snapshots are in the log, so that writers can tell when a new one is due. */
final class SnapshotProgress {
  private static final int MAX_UNFINISHED = 32;
  private static final long NONE = -1;

  private final Map<Incarnation, Unfinished> unfinished = new LinkedHashMap<>();
  private long latestAsOf = NONE;
  private long latestStart = NONE;

  /** Processes a chunk; returns the offset that the snapshot covers if this was its last chunk. */
  Optional<Long> accept(long offset, Incarnation writer, SnapshotChunk chunk) {
    Unfinished current = unfinished.remove(writer);
    if (chunk.index() == 0) {
      current = new Unfinished(writer, chunk.asOf(), offset, 0, chunk.count());
    }
    if (current == null || !current.expects(chunk)) {
      return Optional.empty();
    }
    if (chunk.index() + 1 < chunk.count()) {
      retain(current.next());
      return Optional.empty();
    }
    if (chunk.asOf() > latestAsOf) {
      latestAsOf = chunk.asOf();
      latestStart = current.start();
    }
    return Optional.of(chunk.asOf());
  }

  private void retain(Unfinished progress) {
    unfinished.put(progress.writer(), progress);
    if (unfinished.size() > MAX_UNFINISHED) {
      Iterator<Unfinished> oldest = unfinished.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  long latestAsOf() {
    return latestAsOf;
  }

  long latestStart() {
    return latestStart;
  }

  Image image() {
    return new Image(latestAsOf, latestStart, List.copyOf(unfinished.values()));
  }

  void restore(Image image) {
    latestAsOf = image.latestAsOf();
    latestStart = image.latestStart();
    image.unfinished().forEach(progress -> unfinished.put(progress.writer(), progress));
  }

  /** A snapshot of which only the first chunks have been written. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Unfinished(Incarnation writer, long asOf, long start, int nextIndex, int count) {

    boolean expects(SnapshotChunk chunk) {
      return chunk.asOf() == asOf && chunk.index() == nextIndex && chunk.count() == count;
    }

    Unfinished next() {
      return new Unfinished(writer, asOf, start, nextIndex + 1, count);
    }
  }

  /** The progress as stored in a snapshot. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Image(long latestAsOf, long latestStart, List<Unfinished> unfinished) {}
}

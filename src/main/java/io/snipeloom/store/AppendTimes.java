package io.snipeloom.store;

import io.snipeloom.state.Moment;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Bounds from below when the records of a partition were appended.
 *
 * <p>A response that states the end of the partition shows that the records from there on were
 * appended later. Offsets must be asked for in ascending order. Not thread-safe.
 */
final class AppendTimes {
  private final Deque<KnownEnd> ends = new ArrayDeque<>();

  /** An end of the partition, and a moment after which it was the end. */
  private record KnownEnd(long end, Moment after) {}

  /** Forgets all, because offsets may be given out again. */
  void clear() {
    ends.clear();
  }

  /**
   * Records a response.
   *
   * @param end the end of the partition that it states
   * @param after a moment after which the partition ended there, such as when the call was sent
   */
  void onEnd(long end, Moment after) {
    KnownEnd last = ends.peekLast();
    if (last != null && end < last.end()) {
      return;
    }
    if (last != null && end == last.end()) {
      ends.removeLast();
    }
    ends.addLast(new KnownEnd(end, after));
  }

  /**
   * Returns a moment after which a record was appended, empty if none is known.
   *
   * @param offset the offset of the record
   */
  Optional<Moment> appendedAfter(long offset) {
    Optional<Moment> after = Optional.empty();
    while (!ends.isEmpty() && ends.peekFirst().end() <= offset) {
      after = Optional.of(ends.removeFirst().after());
    }
    after.ifPresent(moment -> ends.addFirst(new KnownEnd(offset, moment)));
    return after;
  }
}

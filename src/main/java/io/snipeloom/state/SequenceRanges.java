package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A set of sequence numbers stored as ranges. Numbers are added roughly in order, so there are few
 * ranges. If there are too many, the lowest range is evicted; {@link #isEvicted} returns true for
 * all numbers up to its end.
 */
final class SequenceRanges {
  private final int maxRanges;
  private final TreeMap<Long, Long> lastByFirst = new TreeMap<>();
  private long forgottenUpTo;

  SequenceRanges(int maxRanges) {
    this.maxRanges = maxRanges;
  }

  boolean contains(long number) {
    Map.Entry<Long, Long> range = lastByFirst.floorEntry(number);
    return range != null && range.getValue() >= number;
  }

  /** Returns whether the number is so low that it may have been added and evicted since. */
  boolean isEvicted(long number) {
    return number <= forgottenUpTo;
  }

  void add(long number) {
    if (contains(number) || isEvicted(number)) {
      return;
    }
    Map.Entry<Long, Long> before = lastByFirst.floorEntry(number);
    boolean joinsBefore = before != null && before.getValue() == number - 1;
    long first = joinsBefore ? before.getKey() : number;
    Long lastAfter = lastByFirst.remove(number + 1);
    lastByFirst.put(first, lastAfter == null ? number : lastAfter);
    if (lastByFirst.size() > maxRanges) {
      forgottenUpTo = lastByFirst.pollFirstEntry().getValue();
    }
  }

  Image image() {
    List<Range> ranges =
        lastByFirst.entrySet().stream()
            .map(entry -> new Range(entry.getKey(), entry.getValue()))
            .toList();
    return new Image(forgottenUpTo, ranges);
  }

  static SequenceRanges restore(int maxRanges, Image image) {
    SequenceRanges ranges = new SequenceRanges(maxRanges);
    ranges.forgottenUpTo = image.forgottenUpTo();
    image.ranges().forEach(range -> ranges.lastByFirst.put(range.first(), range.last()));
    return ranges;
  }

  /** A range of numbers, both ends inclusive. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Range(long first, long last) {}

  /** The set as stored in a snapshot. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Image(long forgottenUpTo, List<Range> ranges) {}
}

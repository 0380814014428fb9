package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A set of numbers kept as ranges. Numbers come roughly in order, so the ranges are few; when there
 * are too many, the lowest are forgotten and {@link #isForgotten} tells so.
 */
final class SequenceRanges {
  private final int bound;
  private final TreeMap<Long, Long> lastByFirst = new TreeMap<>();
  private long forgottenUpTo;

  SequenceRanges(int bound) {
    this.bound = bound;
  }

  boolean contains(long number) {
    Map.Entry<Long, Long> range = lastByFirst.floorEntry(number);
    return range != null && range.getValue() >= number;
  }

  /** Returns whether the number is so low that it may have been added and forgotten. */
  boolean isForgotten(long number) {
    return number <= forgottenUpTo;
  }

  void add(long number) {
    if (contains(number) || isForgotten(number)) {
      return;
    }
    Map.Entry<Long, Long> before = lastByFirst.floorEntry(number);
    boolean joinsBefore = before != null && before.getValue() == number - 1;
    long first = joinsBefore ? before.getKey() : number;
    Long lastAfter = lastByFirst.remove(number + 1);
    lastByFirst.put(first, lastAfter == null ? number : lastAfter);
    if (lastByFirst.size() > bound) {
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

  static SequenceRanges restore(int bound, Image image) {
    SequenceRanges ranges = new SequenceRanges(bound);
    ranges.forgottenUpTo = image.forgottenUpTo();
    image.ranges().forEach(range -> ranges.lastByFirst.put(range.first(), range.last()));
    return ranges;
  }

  /** A range of numbers, both ends included. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Range(long first, long last) {}

  /** The set in a snapshot. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Image(long forgottenUpTo, List<Range> ranges) {}
}

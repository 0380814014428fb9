package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** The values of the counters of the decision state. */
final class Counters {
  private final Map<DecisionCounter, Long> counts = new EnumMap<>(DecisionCounter.class);

  void add(DecisionCounter counter, long amount) {
    if (amount != 0) {
      counts.merge(counter, amount, Long::sum);
    }
  }

  long get(DecisionCounter counter) {
    return counts.getOrDefault(counter, 0L);
  }

  List<Count> image() {
    return counts.entrySet().stream()
        .map(entry -> new Count(entry.getKey(), entry.getValue()))
        .toList();
  }

  void restore(List<Count> image) {
    image.forEach(count -> counts.put(count.counter(), count.value()));
  }

  /** The value of a counter as stored in a snapshot. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Count(DecisionCounter counter, long value) {}
}

package io.snipeloom.edge;

import io.snipeloom.store.KeyedLog;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.store.StoreAnswer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntConsumer;

/**
 * Counts the instances of the fleet by their heartbeats in the store.
 *
 * <p>An instance counts while its heartbeat changes between two looks. The count only divides
 * shares (of retries, of tokens claimed ahead), so a wrong one costs refusals but breaks no
 * promise. Belongs to its event loop.
 */
final class FleetMembers {
  /** The count assumed before the first two looks. */
  static final int ASSUMED_SIZE = 4;

  /** A heartbeat that did not change over this many looks is of an instance that is gone. */
  private static final int MISSED_LOOKS = 3;

  private static final String TOPIC = "members";

  private final KeyedLog log;
  private final String instance;
  private final IntConsumer onSize;
  private final Map<String, Seen> seen = new HashMap<>();
  private long beats;
  private int looks;

  private record Seen(String heartbeat, int look) {}

  FleetMembers(KeyedLog log, String instance, IntConsumer onSize) {
    this.log = log;
    this.instance = instance;
    this.onSize = onSize;
  }

  /** Sends a heartbeat and looks at those of the others. */
  void beat(String incarnation) {
    beats++;
    byte[] value = (incarnation + " " + beats).getBytes(StandardCharsets.UTF_8);
    log.append(TOPIC, 0, new KeyedRecord(instance, value), answer -> look());
  }

  private void look() {
    log.newest(
        TOPIC,
        0,
        "",
        (answer, page) -> {
          if (answer == StoreAnswer.DONE) {
            looks++;
            page.records().forEach(this::see);
            seen.values().removeIf(last -> looks - last.look() >= MISSED_LOOKS);
            onSize.accept(Math.max(1, seen.size()));
          }
        });
  }

  private void see(KeyedRecord record) {
    String heartbeat = new String(record.value(), StandardCharsets.UTF_8);
    Seen before = seen.get(record.key());
    if (before == null || !before.heartbeat().equals(heartbeat)) {
      seen.put(record.key(), new Seen(heartbeat, looks));
    }
  }
}

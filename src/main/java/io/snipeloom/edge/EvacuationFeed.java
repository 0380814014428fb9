package io.snipeloom.edge;

import io.snipeloom.forwarding.Fleet;
import io.snipeloom.platform.PlatformTopics;
import io.snipeloom.routing.Evacuations;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.telemetry.EventLog;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Applies the orders of operators to evacuate availability zones. The value of an order does not
 * matter, only that there is one. Confined to the event loop thread.
 */
final class EvacuationFeed {
  private final Fleet fleet;
  private final Evacuations evacuations;
  private final EventLog log;

  EvacuationFeed(Fleet fleet, EventLog log) {
    this.fleet = fleet;
    this.evacuations = fleet.placement().evacuations();
    this.log = log;
  }

  /** Applies a complete listing of what operators have published. */
  void onListed(List<KeyedRecord> records) {
    Set<String> zones =
        records.stream()
            .filter(record -> isOrder(record) && !record.isRemoval())
            .map(EvacuationFeed::zoneOf)
            .collect(Collectors.toSet());
    evacuations.replaceAll(zones, System.nanoTime()).forEach(zone -> logBegun(zone, "listing"));
  }

  /** Applies a record, which may be no order. */
  void onAppended(KeyedRecord record) {
    if (!isOrder(record)) {
      return;
    }
    String zone = zoneOf(record);
    if (!record.isRemoval()) {
      if (evacuations.order(zone)) {
        logBegun(zone, "record");
      }
    } else if (evacuations.takeBack(zone)) {
      end(zone, "record");
    }
  }

  /** Ends the evacuations that listings have lacked for long enough. */
  void tick(long nowNanos) {
    evacuations.endMissing(nowNanos).forEach(zone -> end(zone, "not listed"));
  }

  private void end(String zone, String source) {
    int replicas = fleet.onEvacuationEnded(zone);
    log.log("evacuation_ended", "zone", zone, "source", source, "replicas", replicas);
  }

  private void logBegun(String zone, String source) {
    log.log("evacuation", "zone", zone, "source", source);
  }

  private static boolean isOrder(KeyedRecord record) {
    return record.key().startsWith(PlatformTopics.EVACUATION_PREFIX);
  }

  private static String zoneOf(KeyedRecord record) {
    return record.key().substring(PlatformTopics.EVACUATION_PREFIX.length());
  }
}

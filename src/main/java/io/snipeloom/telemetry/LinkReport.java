package io.snipeloom.telemetry;

import io.snipeloom.telemetry.LinkTraffic.Purpose;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Logs what an instance has sent and received over its network link since the report before.
 *
 * <p>Confined to the event loop thread.
 */
public final class LinkReport {
  private final LinkTraffic traffic;
  private final EventLog log;
  private final Map<Purpose, Long> sentBefore = new EnumMap<>(Purpose.class);
  private final Map<Purpose, Long> receivedBefore = new EnumMap<>(Purpose.class);

  /**
   * Creates a report that has not been written yet.
   *
   * @param traffic the counters
   * @param log receives a line for each report
   */
  public LinkReport(LinkTraffic traffic, EventLog log) {
    this.traffic = traffic;
    this.log = log;
  }

  /**
   * Writes a line.
   *
   * @param roundTripMillis the shortest recent round trip to another instance, in milliseconds; -1
   *     if there was none
   */
  public void write(long roundTripMillis) {
    List<Object> pairs = new ArrayList<>(List.of("round_trip_ms", roundTripMillis));
    for (Purpose purpose : Purpose.values()) {
      String name = purpose.name().toLowerCase(Locale.ROOT);
      pairs.add("to_" + name);
      pairs.add(since(sentBefore, purpose, traffic.sentBytes(purpose)));
      pairs.add("from_" + name);
      pairs.add(since(receivedBefore, purpose, traffic.receivedBytes(purpose)));
    }
    log.log("link", pairs.toArray());
  }

  private static long since(Map<Purpose, Long> before, Purpose purpose, long bytes) {
    Long last = before.put(purpose, bytes);
    return last == null ? bytes : bytes - last;
  }
}

package io.snipeloom.peer;

import io.netty.channel.EventLoop;
import io.snipeloom.routing.DemandReport;
import io.snipeloom.routing.PeerDemand;
import io.snipeloom.state.RendezvousHash;
import io.snipeloom.telemetry.LinkTraffic;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells other instances of the requests of this one. In a large fleet only some of them are told,
 * so that the number of messages does not grow with the fleet.
 *
 * <p>Confined to the event loop thread.
 */
public final class DemandSender {
  /** The shortest time between two reports, in milliseconds. */
  private static final long MIN_INTERVAL_MILLIS = 100;

  /** The time between two reports for each instance that is told, in milliseconds. */
  private static final double INTERVAL_MILLIS_PER_RECEIVER = 2.5;

  private final EventLoop loop;
  private final LinkTraffic traffic;
  private final String instance;
  private final ClockListener clockListener;
  private final Map<String, DemandConnection> connections = new HashMap<>();

  /** Receives the times of day of other instances. */
  public interface ClockListener {

    /**
     * Called when another instance has acknowledged a report.
     *
     * @param other the name of the other instance
     * @param wallMillis its time of day
     * @param sentNanos the monotonic time at which the report was sent
     * @param receivedNanos the monotonic time at which the acknowledgement was received
     */
    void onResponse(String other, long wallMillis, long sentNanos, long receivedNanos);
  }

  /**
   * Creates a sender that knows no other instances yet.
   *
   * @param loop the event loop of the connections
   * @param traffic counts the bytes of the connections
   * @param instance the name of this instance
   * @param clockListener receives the times of day of the other instances
   */
  public DemandSender(
      EventLoop loop, LinkTraffic traffic, String instance, ClockListener clockListener) {
    this.loop = loop;
    this.traffic = traffic;
    this.instance = instance;
    this.clockListener = clockListener;
  }

  /**
   * Replaces the other live instances.
   *
   * @param addresses their addresses for messages between instances, by instance name
   */
  public void updatePeers(Map<String, InetSocketAddress> addresses) {
    List<String> chosen = receivers(addresses);
    List<String> gone =
        connections.keySet().stream().filter(name -> !chosen.contains(name)).toList();
    gone.forEach(name -> connections.remove(name).close());
    for (String name : chosen) {
      DemandConnection previous = connections.get(name);
      if (previous == null || !previous.address().equals(addresses.get(name))) {
        connections.put(name, connectionTo(name, addresses.get(name)));
        if (previous != null) {
          previous.close();
        }
      }
    }
  }

  private DemandConnection connectionTo(String name, InetSocketAddress address) {
    return new DemandConnection(
        loop,
        address,
        traffic,
        (wallMillis, sentNanos, receivedNanos) ->
            clockListener.onResponse(name, wallMillis, sentNanos, receivedNanos));
  }

  private List<String> receivers(Map<String, InetSocketAddress> addresses) {
    return addresses.keySet().stream()
        .sorted(Comparator.comparingLong(name -> RendezvousHash.weightOf(name, instance)))
        .limit(PeerDemand.MAX_REPORTERS)
        .toList();
  }

  /** Returns the time until the next report is due after one was sent, in milliseconds. */
  public long intervalMillis() {
    return Math.max(
        MIN_INTERVAL_MILLIS, (long) (connections.size() * INTERVAL_MILLIS_PER_RECEIVER));
  }

  /**
   * Sends a report to the other instances.
   *
   * @param report the report
   * @param nowNanos the current time
   */
  public void send(DemandReport report, long nowNanos) {
    connections.values().forEach(connection -> connection.send(report, nowNanos));
  }
}

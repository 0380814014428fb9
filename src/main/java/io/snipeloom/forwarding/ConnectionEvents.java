package io.snipeloom.forwarding;

import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;
import java.net.InetSocketAddress;
import java.util.Locale;

/**
 * Logs and counts what happens on connections to replicas while none of their requests can tell it.
 *
 * <p>Thread-safe.
 */
public final class ConnectionEvents {
  private final EventLog log;
  private final FleetMetrics metrics;

  /**
   * Creates the events of the connections of this instance.
   *
   * @param log receives a line for each event
   * @param metrics counts them
   */
  public ConnectionEvents(EventLog log, FleetMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /** Logs that bytes came that belong to no request, for which the connection is closed. */
  void surplus(InetSocketAddress peer, ClientConnection connection, SurplusMoment moment) {
    metrics.count("surplus_" + moment.name().toLowerCase(Locale.ROOT));
    log.log(
        "surplus_bytes",
        "connection",
        connection.number(),
        "connection_requests",
        connection.requests(),
        "peer",
        peer.getHostString() + ":" + peer.getPort(),
        "last_id",
        connection.lastRequestId(),
        "moment",
        moment);
  }
}

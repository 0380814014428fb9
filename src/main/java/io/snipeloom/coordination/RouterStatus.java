package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.Entry;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.Zone;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Provides the state of the fleet as a router sees it.
 *
 * <p>Thread-safe.
 */
public final class RouterStatus implements StatusReader {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Incarnation self;
  private final Zone zone;
  private final LogReplica replica;
  private final FleetMembership membership;
  private final LongSupplier nanoClock;

  /**
   * Creates a status reader.
   *
   * @param self the incarnation of the router
   * @param zone its availability zone
   * @param replica the replica of the decision state
   * @param membership provides the known sidecars
   * @param nanoClock the monotonic clock of the replica, in nanoseconds
   */
  public RouterStatus(
      Incarnation self,
      Zone zone,
      LogReplica replica,
      FleetMembership membership,
      LongSupplier nanoClock) {
    this.self = self;
    this.zone = zone;
    this.replica = replica;
    this.membership = membership;
    this.nanoClock = nanoClock;
  }

  /**
   * Returns whether the router takes requests.
   *
   * @return true once it has caught up with the log
   */
  public boolean isReady() {
    return replica.isCaughtUp();
  }

  @Override
  public FleetStatus status() {
    ConfigurationDocument document = replica.read(state -> state.configuration());
    List<FleetStatus.Sidecar> sidecars =
        document.upstreams().stream()
            .map(Entry::value)
            .flatMap(upstream -> membership.backEnds(upstream.id()).all().stream())
            .map(RouterStatus::sidecar)
            .toList();
    return new FleetStatus(
        self,
        zone,
        isReady(),
        replica.appliedOffset(),
        document.offset(),
        (nanoClock.getAsLong() - replica.answeredNanos()) / NANOS_PER_MILLI,
        sidecars);
  }

  private static FleetStatus.Sidecar sidecar(BackEnd backEnd) {
    Message.Heartbeat load = backEnd.link().load();
    return new FleetStatus.Sidecar(
        backEnd.id(),
        backEnd.zone(),
        backEnd.takesNewWork(),
        load.running(),
        load.queued(),
        backEnd.link().loadAgeMillis());
  }
}

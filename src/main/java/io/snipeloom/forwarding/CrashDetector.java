package io.snipeloom.forwarding;

import io.netty.channel.EventLoop;
import io.snipeloom.crashes.InFlight;
import io.snipeloom.crashes.ReplicaIncarnation;
import io.snipeloom.routing.Replica;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tells replicas that ended from connections that merely broke.
 *
 * <p>A connection also breaks when it is reset, when a replica closes it on purpose, or when it is
 * cut. A replica that accepts a new connection right afterwards is alive; one that refuses it has
 * crashed. One that cannot be reached, or whose entry has gone, has ended for all that is known.
 * Confined to the event loop thread.
 */
final class CrashDetector {
  /** How long after its caller left an attempt may still run at its replica. */
  private static final long ABANDONED_NANOS = 2_000_000_000L;

  /** How long after its caller left the replica of an attempt is looked at. */
  private static final long LOOK_DELAY_NANOS = 1_000_000_000L;

  /** The most attempts without a caller that are kept; the oldest one makes room. */
  private static final int MAX_ABANDONED = 1_024;

  private final EventLoop loop;
  private final Fleet fleet;
  private final EventLog log;
  private final FleetMetrics metrics;
  private final Map<Replica, Break> breaks = new HashMap<>();
  private final Deque<Abandoned> abandoned = new ArrayDeque<>();

  /** The attempts whose connections to one replica broke while it is being looked at. */
  private record Break(long atNanos, List<InFlight> inFlight) {}

  /** An attempt whose caller left. */
  private record Abandoned(Replica replica, InFlight inFlight, long atNanos) {}

  CrashDetector(EventLoop loop, Fleet fleet, EventLog log, FleetMetrics metrics) {
    this.loop = loop;
    this.fleet = fleet;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Looks at a replica after the connection of an attempt broke, or after it was silent for long.
   *
   * @param replica the replica
   * @param inFlight the attempt
   * @param nowNanos when the connection broke
   */
  void onBroken(Replica replica, InFlight inFlight, long nowNanos) {
    fleet.crashes().onBroken(incarnation(replica), inFlight, nowNanos);
    Break pending = breaks.get(replica);
    if (pending != null) {
      pending.inFlight().add(inFlight);
      return;
    }
    Break begun = new Break(nowNanos, new ArrayList<>(List.of(inFlight)));
    if (!fleet.directory().isAvailable(replica)) {
      onEnded(replica, begun);
      return;
    }
    breaks.put(replica, begun);
    fleet.connectionPool(replica).probe(result -> onProbed(replica, begun, result));
  }

  /**
   * Records that the caller of an attempt left, after which the replica may yet end under it. If
   * another replica has, this one is looked at a little later.
   */
  void onAbandoned(Replica replica, InFlight inFlight, long nowNanos) {
    if (fleet.crashes().isSuspected(inFlight.traits())) {
      var unused =
          loop.schedule(
              () -> onBroken(replica, inFlight, System.nanoTime()),
              LOOK_DELAY_NANOS,
              TimeUnit.NANOSECONDS);
    }
    abandoned.addLast(new Abandoned(replica, inFlight, nowNanos));
    while (abandoned.size() > MAX_ABANDONED
        || nowNanos - abandoned.peekFirst().atNanos() > ABANDONED_NANOS) {
      abandoned.removeFirst();
    }
  }

  private void onProbed(Replica replica, Break begun, ConnectionPool.ProbeResult result) {
    breaks.remove(replica);
    log.log(
        "replica_probed",
        "replica",
        replica.id(),
        "result",
        result,
        "broken_attempts",
        begun.inFlight().size());
    metrics.count("replica_probed_" + result.name().toLowerCase(Locale.ROOT));
    if (result == ConnectionPool.ProbeResult.ACCEPTED) {
      fleet.crashes().onAlive(incarnation(replica), begun.inFlight());
    } else if (result == ConnectionPool.ProbeResult.REFUSED) {
      onCrashed(replica, begun);
    } else {
      onEnded(replica, begun);
    }
  }

  private void onCrashed(Replica replica, Break begun) {
    List<InFlight> inFlight = withAbandoned(replica, begun);
    fleet.crashes().onCrash(incarnation(replica), begun.atNanos(), inFlight, System.nanoTime());
  }

  private void onEnded(Replica replica, Break begun) {
    List<InFlight> inFlight = withAbandoned(replica, begun);
    fleet.crashes().onEnded(incarnation(replica), begun.atNanos(), inFlight);
  }

  /** Returns the attempts that broke, and those whose callers left shortly before. */
  private List<InFlight> withAbandoned(Replica replica, Break begun) {
    List<InFlight> all = new ArrayList<>(begun.inFlight());
    Iterator<Abandoned> each = abandoned.iterator();
    while (each.hasNext()) {
      Abandoned one = each.next();
      if (one.replica().isSameIncarnation(replica)) {
        each.remove();
        if (begun.atNanos() - one.atNanos() <= ABANDONED_NANOS) {
          all.add(one.inFlight());
        }
      }
    }
    return all;
  }

  private static ReplicaIncarnation incarnation(Replica replica) {
    return new ReplicaIncarnation(
        replica.service(), replica.id() + "@" + replica.startedAtMillis());
  }
}

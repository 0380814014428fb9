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
  private final Map<Replica, Look> looks = new HashMap<>();
  private final Deque<Abandoned> abandoned = new ArrayDeque<>();

  /** An attempt whose connection broke. */
  private record BrokenAttempt(InFlight inFlight, long atNanos) {}

  /**
   * A look at one replica, which tells of those that broke before it began. A replica that was
   * alive when it began may have ended since.
   */
  private record Look(List<BrokenAttempt> before, List<BrokenAttempt> since) {
    static Look after(List<BrokenAttempt> before) {
      return new Look(before, new ArrayList<>());
    }

    /** Returns when the first connection broke. */
    long brokenNanos() {
      return before.get(0).atNanos();
    }
  }

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
    BrokenAttempt broken = new BrokenAttempt(inFlight, nowNanos);
    Look pending = looks.get(replica);
    if (pending != null) {
      pending.since().add(broken);
    } else {
      look(replica, Look.after(List.of(broken)));
    }
  }

  private void look(Replica replica, Look begun) {
    if (!fleet.directory().isAvailable(replica)) {
      onEnded(replica, begun);
      return;
    }
    looks.put(replica, begun);
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

  private void onProbed(Replica replica, Look begun, ConnectionPool.ProbeResult result) {
    looks.remove(replica);
    log.log(
        "replica_probed",
        "replica",
        replica.id(),
        "result",
        result,
        "broken_attempts",
        begun.before().size(),
        "broken_since",
        begun.since().size());
    metrics.count("replica_probed_" + result.name().toLowerCase(Locale.ROOT));
    switch (result) {
      case ACCEPTED -> onAlive(replica, begun);
      case REFUSED -> onCrashed(replica, begun);
      default -> onEnded(replica, begun);
    }
  }

  /**
   * Records that a replica was alive when the look at it began. If connections to it broke since,
   * it is looked at once more.
   */
  private void onAlive(Replica replica, Look begun) {
    ReplicaIncarnation incarnation = incarnation(replica);
    fleet.crashes().onAlive(incarnation, inFlight(begun.before()));
    if (begun.since().isEmpty()) {
      return;
    }
    for (BrokenAttempt broken : begun.since()) {
      fleet.crashes().onBroken(incarnation, broken.inFlight(), broken.atNanos());
    }
    look(replica, Look.after(begun.since()));
  }

  private static List<InFlight> inFlight(List<BrokenAttempt> attempts) {
    return attempts.stream().map(BrokenAttempt::inFlight).toList();
  }

  private void onCrashed(Replica replica, Look begun) {
    List<InFlight> inFlight = withAbandoned(replica, begun);
    fleet.crashes().onCrash(incarnation(replica), begun.brokenNanos(), inFlight, System.nanoTime());
  }

  private void onEnded(Replica replica, Look begun) {
    List<InFlight> inFlight = withAbandoned(replica, begun);
    fleet.crashes().onEnded(incarnation(replica), begun.brokenNanos(), inFlight);
  }

  /** Returns the attempts that broke, and those whose callers left shortly before. */
  private List<InFlight> withAbandoned(Replica replica, Look begun) {
    List<InFlight> all = new ArrayList<>(inFlight(begun.before()));
    all.addAll(inFlight(begun.since()));
    Iterator<Abandoned> each = abandoned.iterator();
    while (each.hasNext()) {
      Abandoned one = each.next();
      if (one.replica().isSameIncarnation(replica)) {
        each.remove();
        if (begun.brokenNanos() - one.atNanos() <= ABANDONED_NANOS) {
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

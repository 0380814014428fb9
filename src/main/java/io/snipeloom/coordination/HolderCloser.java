package io.snipeloom.coordination;

import com.google.common.flogger.FluentLogger;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.DecisionState;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Closes the holders of routers that are gone, so that sidecars settle their work and their unspent
 * tokens go back.
 *
 * <p>A router closes the earlier incarnations of its own slot at once, and those of slots that the
 * instance list has lacked for {@link #GONE_AFTER}. Closing a living holder by mistake costs a
 * restart, never a token. Not thread-safe; call {@link #step} periodically from one thread.
 */
public final class HolderCloser {
  /** How long a slot must be missing before its holders are closed. */
  static final Duration GONE_AFTER = Duration.ofMinutes(5);

  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final Incarnation self;
  private final LogReplica replica;
  private final RecordSink records;
  private final Supplier<Set<InstanceId>> routers;
  private final LongSupplier nanoClock;
  private final Map<Incarnation, Long> missingSinceNanos = new HashMap<>();
  private final Set<Incarnation> asked = new HashSet<>();
  private Set<Incarnation> predecessors;

  /**
   * Creates a closer.
   *
   * @param self the incarnation of this router
   * @param replica the replica of the decision state
   * @param records takes the records
   * @param routers the router slots in the instance list; empty while it is not known
   * @param nanoClock a monotonic clock in nanoseconds
   */
  public HolderCloser(
      Incarnation self,
      LogReplica replica,
      RecordSink records,
      Supplier<Set<InstanceId>> routers,
      LongSupplier nanoClock) {
    this.self = self;
    this.replica = replica;
    this.records = records;
    this.routers = routers;
    this.nanoClock = nanoClock;
  }

  /** Closes the holders that are due. */
  public void step() {
    if (!replica.isCaughtUp()) {
      return;
    }
    List<Incarnation> open = replica.read(DecisionState::openHolders);
    notePredecessors(open);
    Set<InstanceId> present = routers.get();
    missingSinceNanos.keySet().retainAll(open);
    asked.retainAll(open);
    for (Incarnation holder : open) {
      if (!holder.equals(self) && isGone(holder, present) && asked.add(holder)) {
        LOG.atInfo().log("event=holder_closed holder=%s", holder);
        records.append(List.of(new DecisionRecord.HolderClosed(holder)));
      }
    }
  }

  /** A later incarnation of the slot replaces this one, so only those found at the start count. */
  private void notePredecessors(List<Incarnation> open) {
    if (predecessors == null) {
      predecessors = new HashSet<>(open);
      predecessors.removeIf(holder -> !holder.instance().equals(self.instance()));
    }
  }

  private boolean isGone(Incarnation holder, Set<InstanceId> present) {
    if (holder.instance().equals(self.instance())) {
      return predecessors.contains(holder);
    }
    if (present.isEmpty() || present.contains(holder.instance())) {
      missingSinceNanos.remove(holder);
      return false;
    }
    long now = nanoClock.getAsLong();
    long since = missingSinceNanos.computeIfAbsent(holder, id -> now);
    return now - since >= GONE_AFTER.toNanos();
  }
}

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
 * Closes the budget holders of routers that are gone, so that sidecars settle the open attempts of
 * these holders and the unspent tokens return to the pool.
 *
 * <p>A router closes the earlier incarnations of its own slot immediately, and the holders of other
 * slots once these have been absent from the instance list for {@link #GONE_AFTER}. Closing the
 * holder of a live router by mistake causes a restart of that router but loses no tokens. Not
 * thread-safe; call {@link #step} periodically from one thread.
 */
public final class HolderCloser {
  /** How long a slot must be absent from the instance list before its holders are closed. */
  static final Duration GONE_AFTER = Duration.ofMinutes(5);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Incarnation self;
  private final LogReplica replica;
  private final RecordSink records;
  private final Supplier<Set<InstanceId>> routers;
  private final LongSupplier nanoClock;
  private final Map<Incarnation, Long> absentSinceNanos = new HashMap<>();
  private final Set<Incarnation> closeRequested = new HashSet<>();
  private Set<Incarnation> predecessors;

  /**
   * Creates a closer.
   *
   * @param self the incarnation of this router
   * @param replica the replica of the decision state
   * @param records appends the records to the decision stream
   * @param routers the router slots in the instance list; empty while the list is not known
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

  /** Closes the holders of routers that are gone. Does nothing before the replica has caught up. */
  public void step() {
    if (!replica.isCaughtUp()) {
      return;
    }
    List<Incarnation> open = replica.read(DecisionState::openHolders);
    recordPredecessors(open);
    Set<InstanceId> listedRouters = routers.get();
    absentSinceNanos.keySet().retainAll(open);
    closeRequested.retainAll(open);
    for (Incarnation holder : open) {
      if (!holder.equals(self) && isGone(holder, listedRouters) && closeRequested.add(holder)) {
        logger.atInfo().log("event=holder_closed holder=%s", holder);
        records.append(List.of(new DecisionRecord.HolderClosed(holder)));
      }
    }
  }

  /**
   * Records the incarnations of this slot that are open at the first step. Only these are closed at
   * once; one that appears later replaces this router and must stay open.
   */
  private void recordPredecessors(List<Incarnation> open) {
    if (predecessors == null) {
      predecessors = new HashSet<>(open);
      predecessors.removeIf(holder -> !holder.instance().equals(self.instance()));
    }
  }

  private boolean isGone(Incarnation holder, Set<InstanceId> listedRouters) {
    if (holder.instance().equals(self.instance())) {
      return predecessors.contains(holder);
    }
    if (listedRouters.isEmpty() || listedRouters.contains(holder.instance())) {
      absentSinceNanos.remove(holder);
      return false;
    }
    long now = nanoClock.getAsLong();
    long since = absentSinceNanos.computeIfAbsent(holder, id -> now);
    return now - since >= GONE_AFTER.toNanos();
  }
}

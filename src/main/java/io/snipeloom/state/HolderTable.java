package io.snipeloom.state;

import io.snipeloom.state.DecisionLimits.Guard;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The holders, with the drain reports that are required before the unspent tokens of a closed
 * holder can be claimed by others.
 *
 * <p>A closed holder awaits the report of every sidecar that was live when the holder was closed,
 * and of every lost sidecar for which the holder had not yet reported that its work is settled.
 */
final class HolderTable {
  private final DecisionLimits limits;
  private final SidecarTable sidecars;
  private final Map<Incarnation, Holder> open = new TreeMap<>();
  private final Map<Incarnation, Holder> closed = new LinkedHashMap<>();
  private final Map<Incarnation, Holder> released = new LinkedHashMap<>();

  HolderTable(DecisionLimits limits, SidecarTable sidecars) {
    this.limits = limits;
    this.sidecars = sidecars;
  }

  Optional<Holder> find(Incarnation id) {
    Holder holder = open.get(id);
    holder = holder == null ? closed.get(id) : holder;
    return Optional.ofNullable(holder == null ? released.get(id) : holder);
  }

  boolean isOpen(Incarnation id) {
    return open.containsKey(id);
  }

  boolean isClosed(Incarnation id) {
    return closed.containsKey(id) || released.containsKey(id);
  }

  List<Incarnation> openIds() {
    return List.copyOf(open.keySet());
  }

  List<Incarnation> closedIds() {
    return List.copyOf(closed.keySet());
  }

  /** Returns an open holder, creating it if it is unknown; empty if it is closed. */
  Optional<Holder> openOrCreate(Incarnation id) {
    if (isClosed(id)) {
      return Optional.empty();
    }
    return Optional.of(open.computeIfAbsent(id, this::create));
  }

  private Holder create(Incarnation id) {
    return new Holder(id, new SequenceRanges(limits.maxSettledRanges()));
  }

  /** Closes a holder and returns it; empty if it was already closed. */
  Optional<Holder> close(Incarnation id) {
    if (isClosed(id)) {
      return Optional.empty();
    }
    Holder holder = Optional.ofNullable(open.remove(id)).orElseGet(() -> create(id));
    holder.close();
    closed.put(id, holder);
    BitSet added = sidecars.liveIndexes();
    added.andNot(holder.awaited());
    holder.awaited().or(added);
    added.stream().forEach(index -> sidecars.at(index).addAwaitingHolders(1));
    return Optional.of(holder);
  }

  /** Returns whether no further consumption of a closed holder can be reported. */
  boolean isDrained(Holder holder) {
    return holder.awaited().isEmpty() || !limits.isEnabled(Guard.DRAIN_BARRIER);
  }

  /**
   * Marks a closed holder as released, after its unspent tokens were returned or written off. It is
   * evicted only after the retention period for writers. By then, any batch that it wrote before it
   * was closed is stale and cannot reopen it.
   */
  void markReleased(Holder holder, long offset) {
    holder.awaited().stream().boxed().toList().forEach(index -> removeAwaited(holder, index));
    closed.remove(holder.id());
    holder.release(offset);
    released.put(holder.id(), holder);
    evictReleased(offset);
  }

  private void evictReleased(long offset) {
    Iterator<Holder> oldest = released.values().iterator();
    while (released.size() > limits.maxReleasedHolders()
        && oldest.next().releasedAt() < offset - limits.writerRetentionOffsets()) {
      oldest.remove();
    }
  }

  /**
   * Records the report that a sidecar has no unsettled work from a holder. Returns the holder;
   * empty if no such report was awaited or {@code writer} may not make it.
   */
  Optional<Holder> reportDrained(Incarnation holderId, Incarnation sidecarId, Incarnation writer) {
    Holder holder = find(holderId).orElse(null);
    Sidecar sidecar = sidecars.find(sidecarId).orElse(null);
    if (holder == null || sidecar == null || !holder.awaited().get(sidecar.index())) {
      return Optional.empty();
    }
    if (holder.isOpen() && !writer.equals(holderId)) {
      return Optional.empty();
    }
    removeAwaited(holder, sidecar.index());
    return Optional.of(holder);
  }

  /** Requires every open holder to report on a lost sidecar. */
  void awaitReportsOnLost(Sidecar sidecar) {
    for (Holder holder : open.values()) {
      if (!holder.awaited().get(sidecar.index())) {
        holder.awaited().set(sidecar.index());
        sidecar.addAwaitingHolders(1);
      }
    }
    removeIfNotAwaited(sidecar);
  }

  /**
   * Records the report that a sidecar has no unsettled work from any holder. Returns the closed
   * holders that awaited this report.
   */
  List<Holder> reportAllDrained(Sidecar sidecar) {
    List<Holder> affected = new ArrayList<>();
    for (Holder holder : closed.values()) {
      if (holder.awaited().get(sidecar.index())) {
        removeAwaited(holder, sidecar.index());
        affected.add(holder);
      }
    }
    if (sidecar.isLost()) {
      open.values().forEach(holder -> removeAwaited(holder, sidecar.index()));
    }
    return affected;
  }

  private void removeAwaited(Holder holder, int index) {
    if (holder.awaited().get(index)) {
      holder.awaited().clear(index);
      Sidecar sidecar = sidecars.at(index);
      sidecar.addAwaitingHolders(-1);
      removeIfNotAwaited(sidecar);
    }
  }

  private void removeIfNotAwaited(Sidecar sidecar) {
    if (sidecar.isRemovable()) {
      sidecars.remove(sidecar);
    }
  }

  List<Holder.Image> image() {
    Map<Integer, Integer> positions = sidecars.imagePositions();
    List<Holder> all = new ArrayList<>(open.values());
    all.addAll(closed.values());
    all.addAll(released.values());
    return all.stream().map(holder -> image(holder, positions)).toList();
  }

  private static Holder.Image image(Holder holder, Map<Integer, Integer> positions) {
    return new Holder.Image(
        holder.id(),
        holder.phase(),
        holder.releasedAt(),
        holder.awaited().stream().mapToObj(positions::get).sorted().toList(),
        List.copyOf(holder.budgets()),
        holder.settled().image());
  }

  void restore(List<Holder.Image> image) {
    for (Holder.Image entry : image) {
      SequenceRanges settled = SequenceRanges.restore(limits.maxSettledRanges(), entry.settled());
      Holder holder = new Holder(entry.id(), settled);
      holder.restore(entry);
      entry.awaited().forEach(index -> restoreAwaited(holder, index));
      holdersIn(entry.phase()).put(holder.id(), holder);
    }
  }

  private void restoreAwaited(Holder holder, int index) {
    holder.awaited().set(index);
    sidecars.at(index).addAwaitingHolders(1);
  }

  private Map<Incarnation, Holder> holdersIn(Holder.Phase phase) {
    return switch (phase) {
      case OPEN -> open;
      case CLOSED -> closed;
      case RELEASED -> released;
    };
  }
}

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
 * The holders, and the reports that must come before the remainder of a closed holder can be spent
 * by others.
 *
 * <p>A closed holder waits for every sidecar that was live when it was closed, and for every lost
 * sidecar for which it had not reported that its work there is settled.
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

  List<Incarnation> closedIds() {
    return List.copyOf(closed.keySet());
  }

  /** Returns the open holder, opening it if it is not known; empty if it is closed. */
  Optional<Holder> openOrCreate(Incarnation id) {
    if (isClosed(id)) {
      return Optional.empty();
    }
    return Optional.of(open.computeIfAbsent(id, this::create));
  }

  private Holder create(Incarnation id) {
    return new Holder(id, new SequenceRanges(limits.settledRanges()));
  }

  /** Closes a holder unless it was closed before. */
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
    added.stream().forEach(index -> sidecars.at(index).addAwaiting(1));
    return Optional.of(holder);
  }

  /** Returns whether nobody can report further consumption of a closed holder. */
  boolean isDrained(Holder holder) {
    return holder.awaited().isEmpty() || !limits.isEnabled(Guard.DRAIN_BARRIER);
  }

  /**
   * Notes that a closed holder has no remainder any more. It is forgotten only when its own batches
   * from before its closing would be stale, so that none can open it again.
   */
  void noteReleased(Holder holder, long offset) {
    holder.awaited().stream().boxed().toList().forEach(index -> removeAwaited(holder, index));
    closed.remove(holder.id());
    holder.release(offset);
    released.put(holder.id(), holder);
    forgetReleased(offset);
  }

  private void forgetReleased(long offset) {
    Iterator<Holder> oldest = released.values().iterator();
    while (released.size() > limits.closedMemory()
        && oldest.next().releasedAt() < offset - limits.writerMemoryOffsets()) {
      oldest.remove();
    }
  }

  /** Takes the report that a sidecar holds no unsettled work of a holder. */
  Optional<Holder> drained(Incarnation holderId, Incarnation sidecarId, Incarnation writer) {
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

  /** Makes every open holder report on a lost sidecar. */
  void awaitLost(Sidecar sidecar) {
    for (Holder holder : open.values()) {
      if (!holder.awaited().get(sidecar.index())) {
        holder.awaited().set(sidecar.index());
        sidecar.addAwaiting(1);
      }
    }
    forgetIfSettled(sidecar);
  }

  /** Takes the report that a sidecar holds no unsettled work at all; returns closed holders. */
  List<Holder> allDrained(Sidecar sidecar) {
    List<Holder> touched = new ArrayList<>();
    for (Holder holder : closed.values()) {
      if (holder.awaited().get(sidecar.index())) {
        removeAwaited(holder, sidecar.index());
        touched.add(holder);
      }
    }
    if (sidecar.isLost()) {
      open.values().forEach(holder -> removeAwaited(holder, sidecar.index()));
    }
    return touched;
  }

  private void removeAwaited(Holder holder, int index) {
    if (holder.awaited().get(index)) {
      holder.awaited().clear(index);
      Sidecar sidecar = sidecars.at(index);
      sidecar.addAwaiting(-1);
      forgetIfSettled(sidecar);
    }
  }

  private void forgetIfSettled(Sidecar sidecar) {
    if (sidecar.isForgettable()) {
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
      SequenceRanges settled = SequenceRanges.restore(limits.settledRanges(), entry.settled());
      Holder holder = new Holder(entry.id(), settled);
      holder.restore(entry);
      entry.awaited().forEach(index -> restoreAwaited(holder, index));
      mapOf(entry.phase()).put(holder.id(), holder);
    }
  }

  private void restoreAwaited(Holder holder, int index) {
    holder.awaited().set(index);
    sidecars.at(index).addAwaiting(1);
  }

  private Map<Incarnation, Holder> mapOf(Holder.Phase phase) {
    return switch (phase) {
      case OPEN -> open;
      case CLOSED -> closed;
      case RELEASED -> released;
    };
  }
}

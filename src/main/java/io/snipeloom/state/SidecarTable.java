package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The sidecar incarnations, each with a small index for the sets of awaited reports. */
final class SidecarTable {
  private final Map<Incarnation, Sidecar> known = new TreeMap<>();
  private final Map<InstanceId, Sidecar> liveBySlot = new HashMap<>();
  private final Map<Integer, Sidecar> byIndex = new HashMap<>();
  private final BitSet live = new BitSet();
  private final BitSet used = new BitSet();

  Optional<Sidecar> find(Incarnation incarnation) {
    return Optional.ofNullable(known.get(incarnation));
  }

  Sidecar at(int index) {
    return byIndex.get(index);
  }

  boolean isLive(Incarnation incarnation) {
    Sidecar sidecar = known.get(incarnation);
    return sidecar != null && !sidecar.isLost();
  }

  Optional<Sidecar> liveIn(InstanceId slot) {
    return Optional.ofNullable(liveBySlot.get(slot));
  }

  Collection<Sidecar> live() {
    return liveBySlot.values();
  }

  /** Returns the indexes of the live sidecars as a set that the caller may change. */
  BitSet liveIndexes() {
    return (BitSet) live.clone();
  }

  void add(Incarnation incarnation, UpstreamId upstream, boolean lost) {
    int index = used.nextClearBit(0);
    Sidecar sidecar = new Sidecar(incarnation, upstream, index, lost);
    used.set(index);
    byIndex.put(index, sidecar);
    known.put(incarnation, sidecar);
    if (!lost) {
      live.set(index);
      liveBySlot.put(incarnation.instance(), sidecar);
    }
  }

  void markLost(Sidecar sidecar) {
    sidecar.markLost();
    live.clear(sidecar.index());
    liveBySlot.remove(sidecar.incarnation().instance(), sidecar);
  }

  void remove(Sidecar sidecar) {
    known.remove(sidecar.incarnation());
    byIndex.remove(sidecar.index());
    live.clear(sidecar.index());
    used.clear(sidecar.index());
    liveBySlot.remove(sidecar.incarnation().instance(), sidecar);
  }

  List<Image> image() {
    return known.values().stream()
        .map(sidecar -> new Image(sidecar.incarnation(), sidecar.upstream(), sidecar.isLost()))
        .toList();
  }

  /** Returns the place of each index in the image. */
  Map<Integer, Integer> imagePositions() {
    Map<Integer, Integer> positions = new HashMap<>();
    known.values().forEach(sidecar -> positions.put(sidecar.index(), positions.size()));
    return positions;
  }

  /** Restores into an empty table, so that the place in the image becomes the index. */
  void restore(List<Image> image) {
    image.forEach(entry -> add(entry.incarnation(), entry.upstream(), entry.lost()));
  }

  /** A sidecar in a snapshot. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Image(Incarnation incarnation, UpstreamId upstream, boolean lost) {}
}

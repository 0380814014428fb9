package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The sidecar incarnations. Each has a small integer index, so that sets of sidecars can be stored
 * as bit sets.
 */
final class SidecarTable {
  private final Map<Incarnation, Sidecar> byIncarnation = new TreeMap<>();
  private final Map<InstanceId, Sidecar> liveByInstance = new HashMap<>();
  private final Map<Integer, Sidecar> byIndex = new HashMap<>();
  private final BitSet liveIndexes = new BitSet();
  private final BitSet usedIndexes = new BitSet();

  Optional<Sidecar> find(Incarnation incarnation) {
    return Optional.ofNullable(byIncarnation.get(incarnation));
  }

  Sidecar at(int index) {
    return byIndex.get(index);
  }

  boolean isLive(Incarnation incarnation) {
    Sidecar sidecar = byIncarnation.get(incarnation);
    return sidecar != null && !sidecar.isLost();
  }

  Optional<Sidecar> liveSidecarOf(InstanceId instance) {
    return Optional.ofNullable(liveByInstance.get(instance));
  }

  Collection<Sidecar> live() {
    return liveByInstance.values();
  }

  /** Returns a copy of the set of the indexes of the live sidecars, which the caller may modify. */
  BitSet liveIndexes() {
    return (BitSet) liveIndexes.clone();
  }

  void add(Incarnation incarnation, UpstreamId upstream, boolean lost) {
    int index = usedIndexes.nextClearBit(0);
    Sidecar sidecar = new Sidecar(incarnation, upstream, index, lost);
    usedIndexes.set(index);
    byIndex.put(index, sidecar);
    byIncarnation.put(incarnation, sidecar);
    if (!lost) {
      liveIndexes.set(index);
      liveByInstance.put(incarnation.instance(), sidecar);
    }
  }

  void markLost(Sidecar sidecar) {
    sidecar.markLost();
    liveIndexes.clear(sidecar.index());
    liveByInstance.remove(sidecar.incarnation().instance(), sidecar);
  }

  void remove(Sidecar sidecar) {
    byIncarnation.remove(sidecar.incarnation());
    byIndex.remove(sidecar.index());
    liveIndexes.clear(sidecar.index());
    usedIndexes.clear(sidecar.index());
    liveByInstance.remove(sidecar.incarnation().instance(), sidecar);
  }

  List<Image> image() {
    return byIncarnation.values().stream()
        .map(sidecar -> new Image(sidecar.incarnation(), sidecar.upstream(), sidecar.isLost()))
        .toList();
  }

  /** Maps the index of each sidecar to its position in the image. */
  Map<Integer, Integer> imagePositions() {
    Map<Integer, Integer> positions = new HashMap<>();
    byIncarnation.values().forEach(sidecar -> positions.put(sidecar.index(), positions.size()));
    return positions;
  }

  /** Restores an empty table; the position of a sidecar in the image becomes its index. */
  void restore(List<Image> image) {
    image.forEach(entry -> add(entry.incarnation(), entry.upstream(), entry.lost()));
  }

  /** A sidecar as stored in a snapshot. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Image(Incarnation incarnation, UpstreamId upstream, boolean lost) {}
}

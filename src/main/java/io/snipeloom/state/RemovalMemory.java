package io.snipeloom.state;

import io.snipeloom.state.ConfigurationSnapshot.Removal;
import java.util.List;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * Remembers which entries were removed and when, so that a change with an older base cannot bring
 * one back unnoticed.
 *
 * <p>Immutable and thread-safe. Bounded: the oldest removals are forgotten first, all of one offset
 * together, and {@link #forgottenUpTo} tells how far back the memory no longer reaches.
 */
final class RemovalMemory {
  static final int MAX_REMOVALS = 10_000;

  private static final RemovalMemory EMPTY =
      new RemovalMemory(TreePMap.empty(), TreePSet.empty(), -1);

  private final TreePMap<String, Long> offsets;
  private final TreePSet<Removal> inOrder;
  private final long forgottenUpTo;

  private RemovalMemory(
      TreePMap<String, Long> offsets, TreePSet<Removal> inOrder, long forgottenUpTo) {
    this.offsets = offsets;
    this.inOrder = inOrder;
    this.forgottenUpTo = forgottenUpTo;
  }

  static RemovalMemory empty() {
    return EMPTY;
  }

  static RemovalMemory of(List<Removal> removals, long forgottenUpTo) {
    RemovalMemory memory = new RemovalMemory(TreePMap.empty(), TreePSet.empty(), forgottenUpTo);
    for (Removal removal : removals) {
      memory = memory.plus(removal);
    }
    return memory;
  }

  RemovalMemory plus(Removal removal) {
    RemovalMemory added = without(removal.section(), removal.entryId());
    return new RemovalMemory(
        added.offsets.plus(key(removal.section(), removal.entryId()), removal.removedAt()),
        added.inOrder.plus(removal),
        forgottenUpTo);
  }

  RemovalMemory trimmed() {
    RemovalMemory kept = this;
    while (kept.inOrder.size() > MAX_REMOVALS) {
      kept = kept.withoutOldestOffset();
    }
    return kept;
  }

  private RemovalMemory withoutOldestOffset() {
    long oldest = inOrder.first().removedAt();
    TreePMap<String, Long> offsetsLeft = offsets;
    TreePSet<Removal> inOrderLeft = inOrder;
    while (!inOrderLeft.isEmpty() && inOrderLeft.first().removedAt() == oldest) {
      Removal first = inOrderLeft.first();
      offsetsLeft = offsetsLeft.minus(key(first.section(), first.entryId()));
      inOrderLeft = inOrderLeft.minusFirst();
    }
    return new RemovalMemory(offsetsLeft, inOrderLeft, oldest);
  }

  private RemovalMemory without(ConfigurationSection section, String entryId) {
    String key = key(section, entryId);
    Long removedAt = offsets.get(key);
    if (removedAt == null) {
      return this;
    }
    return new RemovalMemory(
        offsets.minus(key), inOrder.minus(new Removal(section, entryId, removedAt)), forgottenUpTo);
  }

  /** Returns the offset of the removal, or -1 if none is remembered. */
  long removedAt(ConfigurationSection section, String entryId) {
    Long removedAt = offsets.get(key(section, entryId));
    return removedAt == null ? -1 : removedAt;
  }

  long forgottenUpTo() {
    return forgottenUpTo;
  }

  List<Removal> removals() {
    return List.copyOf(inOrder);
  }

  private static String key(ConfigurationSection section, String entryId) {
    return section.text() + '/' + entryId;
  }
}

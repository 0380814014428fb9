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
final class RemovalHistory {
  static final int MAX_REMOVALS = 10_000;

  private static final RemovalHistory EMPTY =
      new RemovalHistory(TreePMap.empty(), TreePSet.empty(), -1);

  private final TreePMap<String, Long> offsets;
  private final TreePSet<Removal> inOrder;
  private final long forgottenUpTo;

  private RemovalHistory(
      TreePMap<String, Long> offsets, TreePSet<Removal> inOrder, long forgottenUpTo) {
    this.offsets = offsets;
    this.inOrder = inOrder;
    this.forgottenUpTo = forgottenUpTo;
  }

  static RemovalHistory empty() {
    return EMPTY;
  }

  static RemovalHistory of(List<Removal> removals, long forgottenUpTo) {
    RemovalHistory memory = new RemovalHistory(TreePMap.empty(), TreePSet.empty(), forgottenUpTo);
    for (Removal removal : removals) {
      memory = memory.plus(removal);
    }
    return memory;
  }

  RemovalHistory plus(Removal removal) {
    RemovalHistory added = without(removal.section(), removal.entryId());
    return new RemovalHistory(
        added.offsets.plus(key(removal.section(), removal.entryId()), removal.removedAt()),
        added.inOrder.plus(removal),
        forgottenUpTo);
  }

  RemovalHistory trimmed() {
    RemovalHistory kept = this;
    while (kept.inOrder.size() > MAX_REMOVALS) {
      kept = kept.withoutOldestOffset();
    }
    return kept;
  }

  private RemovalHistory withoutOldestOffset() {
    long oldest = inOrder.first().removedAt();
    TreePMap<String, Long> offsetsLeft = offsets;
    TreePSet<Removal> inOrderLeft = inOrder;
    while (!inOrderLeft.isEmpty() && inOrderLeft.first().removedAt() == oldest) {
      Removal first = inOrderLeft.first();
      offsetsLeft = offsetsLeft.minus(key(first.section(), first.entryId()));
      inOrderLeft = inOrderLeft.minusFirst();
    }
    return new RemovalHistory(offsetsLeft, inOrderLeft, oldest);
  }

  private RemovalHistory without(ConfigurationSection section, String entryId) {
    String key = key(section, entryId);
    Long removedAt = offsets.get(key);
    if (removedAt == null) {
      return this;
    }
    return new RemovalHistory(
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

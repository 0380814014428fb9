package io.snipeloom.state;

import io.snipeloom.state.ConfigurationSnapshot.Removal;
import java.util.List;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The log offset at which each removed entry was last removed. A change that is based on an older
 * document and would recreate such an entry is thus detected as a conflict.
 *
 * <p>Immutable and thread-safe. The size is bounded by {@link #trimmed}, which evicts the oldest
 * removals, always all removals of one offset together. {@link #forgottenUpTo} returns the greatest
 * evicted offset.
 */
final class RemovalHistory {
  static final int MAX_REMOVALS = 10_000;

  private static final RemovalHistory EMPTY =
      new RemovalHistory(TreePMap.empty(), TreePSet.empty(), -1);

  private final TreePMap<String, Long> offsetsByKey;
  private final TreePSet<Removal> byOffset;
  private final long forgottenUpTo;

  private RemovalHistory(
      TreePMap<String, Long> offsetsByKey, TreePSet<Removal> byOffset, long forgottenUpTo) {
    this.offsetsByKey = offsetsByKey;
    this.byOffset = byOffset;
    this.forgottenUpTo = forgottenUpTo;
  }

  static RemovalHistory empty() {
    return EMPTY;
  }

  static RemovalHistory of(List<Removal> removals, long forgottenUpTo) {
    RemovalHistory history = new RemovalHistory(TreePMap.empty(), TreePSet.empty(), forgottenUpTo);
    for (Removal removal : removals) {
      history = history.plus(removal);
    }
    return history;
  }

  RemovalHistory plus(Removal removal) {
    RemovalHistory others = without(removal.section(), removal.entryId());
    return new RemovalHistory(
        others.offsetsByKey.plus(key(removal.section(), removal.entryId()), removal.removedAt()),
        others.byOffset.plus(removal),
        forgottenUpTo);
  }

  /** Returns a history without the oldest removals that exceed the maximum number. */
  RemovalHistory trimmed() {
    RemovalHistory trimmed = this;
    while (trimmed.byOffset.size() > MAX_REMOVALS) {
      trimmed = trimmed.withoutOldestOffset();
    }
    return trimmed;
  }

  private RemovalHistory withoutOldestOffset() {
    long oldest = byOffset.first().removedAt();
    TreePMap<String, Long> remainingOffsets = offsetsByKey;
    TreePSet<Removal> remainingByOffset = byOffset;
    while (!remainingByOffset.isEmpty() && remainingByOffset.first().removedAt() == oldest) {
      Removal first = remainingByOffset.first();
      remainingOffsets = remainingOffsets.minus(key(first.section(), first.entryId()));
      remainingByOffset = remainingByOffset.minusFirst();
    }
    return new RemovalHistory(remainingOffsets, remainingByOffset, oldest);
  }

  private RemovalHistory without(ConfigurationSection section, String entryId) {
    String key = key(section, entryId);
    Long removedAt = offsetsByKey.get(key);
    if (removedAt == null) {
      return this;
    }
    return new RemovalHistory(
        offsetsByKey.minus(key),
        byOffset.minus(new Removal(section, entryId, removedAt)),
        forgottenUpTo);
  }

  /** Returns the offset of the removal, or -1 if none is retained. */
  long removedAt(ConfigurationSection section, String entryId) {
    Long removedAt = offsetsByKey.get(key(section, entryId));
    return removedAt == null ? -1 : removedAt;
  }

  /** Returns the greatest log offset whose removals have been evicted, or -1 if none have. */
  long forgottenUpTo() {
    return forgottenUpTo;
  }

  /** Returns the retained removals, oldest first. */
  List<Removal> removals() {
    return List.copyOf(byOffset);
  }

  private static String key(ConfigurationSection section, String entryId) {
    return section.text() + '/' + entryId;
  }
}

package io.snipeloom.state;

import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * Maps each key to the identifiers of the entries that refer to it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the identifiers
 */
final class ReferenceIndex<K extends Comparable<K>, V extends Comparable<V>> {
  private final TreePMap<K, TreePSet<V>> references;

  private ReferenceIndex(TreePMap<K, TreePSet<V>> references) {
    this.references = references;
  }

  static <K extends Comparable<K>, V extends Comparable<V>> ReferenceIndex<K, V> empty() {
    return new ReferenceIndex<K, V>(TreePMap.<K, TreePSet<V>>empty());
  }

  /** Adds a reference; has no effect if the key is null. */
  ReferenceIndex<K, V> plus(K key, V reference) {
    return key == null
        ? this
        : new ReferenceIndex<>(references.plus(key, get(key).plus(reference)));
  }

  /** Removes a reference; has no effect if the key is null. */
  ReferenceIndex<K, V> minus(K key, V reference) {
    if (key == null) {
      return this;
    }
    TreePSet<V> remaining = get(key).minus(reference);
    return new ReferenceIndex<>(
        remaining.isEmpty() ? references.minus(key) : references.plus(key, remaining));
  }

  /** Returns the identifiers of the entries that refer to the key; empty if the key is null. */
  TreePSet<V> get(K key) {
    TreePSet<V> found = key == null ? null : references.get(key);
    return found == null ? TreePSet.<V>empty() : found;
  }
}

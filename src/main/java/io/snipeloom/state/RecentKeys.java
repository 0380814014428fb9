package io.snipeloom.state;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A map that retains values for a limited number of the most recently inserted request keys.
 *
 * <p>Evicting a key raises the watermark of its customer to the issue time of the key. A key that
 * is not retained may have been evicted if its issue time is at or below the watermark, and is then
 * treated as expired. Watermarks are kept per customer so that a customer cannot make the keys of
 * another one expire early by sending a wrong issue time.
 *
 * @param <T> the type of the values
 */
final class RecentKeys<T> {
  private final int capacity;
  private final Map<RequestKey, Item<T>> items = new LinkedHashMap<>();
  private final Map<CustomerId, Long> watermarks = new TreeMap<>();

  RecentKeys(int capacity) {
    this.capacity = capacity;
  }

  T get(RequestKey key) {
    Item<T> item = items.get(key);
    return item == null ? null : item.value();
  }

  boolean contains(RequestKey key) {
    return items.containsKey(key);
  }

  /** Returns whether a key that is not retained may have been evicted. */
  boolean isExpired(RequestKey key, long issuedAtMillis) {
    Long watermark = watermarks.get(key.customer());
    return watermark != null && issuedAtMillis <= watermark;
  }

  /** Stores a value; a key that is already retained keeps its position in the eviction order. */
  void put(RequestKey key, long issuedAtMillis, T value) {
    items.put(key, new Item<>(key, issuedAtMillis, value));
    if (items.size() > capacity) {
      evictOldest();
    }
  }

  private void evictOldest() {
    Iterator<Item<T>> oldest = items.values().iterator();
    Item<T> evicted = oldest.next();
    oldest.remove();
    watermarks.merge(evicted.key().customer(), evicted.issuedAtMillis(), Math::max);
  }

  int size() {
    return items.size();
  }

  List<Item<T>> items() {
    return List.copyOf(items.values());
  }

  List<Watermark> watermarks() {
    return watermarks.entrySet().stream()
        .map(entry -> new Watermark(entry.getKey(), entry.getValue()))
        .toList();
  }

  void restore(List<Item<T>> restoredItems, List<Watermark> restoredWatermarks) {
    restoredItems.forEach(item -> items.put(item.key(), item));
    restoredWatermarks.forEach(mark -> watermarks.put(mark.customer(), mark.issuedAtMillis()));
  }

  /** A retained key with its value. */
  record Item<T>(RequestKey key, long issuedAtMillis, T value) {}

  /** The latest issue time among the evicted keys of a customer. */
  record Watermark(CustomerId customer, long issuedAtMillis) {}
}

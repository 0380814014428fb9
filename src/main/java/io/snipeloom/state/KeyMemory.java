package io.snipeloom.state;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Remembers a bounded number of request keys. Forgetting one raises the watermark of its customer
 * to the issue time of the key, so that a key that is neither remembered nor above the watermark is
 * known to be too old. Watermarks are kept per customer, so that no customer can make the keys of
 * another one expire early by a wrong issue time.
 *
 * @param <T> the type of what is remembered of a key
 */
final class KeyMemory<T> {
  private final int bound;
  private final Map<RequestKey, Item<T>> items = new LinkedHashMap<>();
  private final Map<CustomerId, Long> watermarks = new TreeMap<>();

  KeyMemory(int bound) {
    this.bound = bound;
  }

  T get(RequestKey key) {
    Item<T> item = items.get(key);
    return item == null ? null : item.value();
  }

  boolean contains(RequestKey key) {
    return items.containsKey(key);
  }

  /** Returns whether a key that is not remembered may have been forgotten. */
  boolean isExpired(RequestKey key, long issuedAtMillis) {
    Long watermark = watermarks.get(key.customer());
    return watermark != null && issuedAtMillis <= watermark;
  }

  /** Remembers a value; a key that was remembered before keeps its place in the order. */
  void put(RequestKey key, long issuedAtMillis, T value) {
    items.put(key, new Item<>(key, issuedAtMillis, value));
    if (items.size() > bound) {
      forgetOldest();
    }
  }

  private void forgetOldest() {
    Iterator<Item<T>> oldest = items.values().iterator();
    Item<T> forgotten = oldest.next();
    oldest.remove();
    watermarks.merge(forgotten.key().customer(), forgotten.issuedAtMillis(), Math::max);
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

  /** A remembered key. */
  record Item<T>(RequestKey key, long issuedAtMillis, T value) {}

  /** The greatest issue time among the forgotten keys of a customer. */
  record Watermark(CustomerId customer, long issuedAtMillis) {}
}

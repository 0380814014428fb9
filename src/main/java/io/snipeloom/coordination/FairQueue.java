package io.snipeloom.coordination;

import io.snipeloom.state.CustomerId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * The waiting requests of one request class, shared between customers by start-time fair queueing;
 * guarded by its owner.
 *
 * <p>Each customer has a virtual time that advances by the cost of its requests; the customer that
 * is furthest behind is served next.
 *
 * @param <T> the type of the elements
 */
final class FairQueue<T> {
  private final Map<CustomerId, Lane<T>> lanes = new HashMap<>();
  private final PriorityQueue<Lane<T>> order =
      new PriorityQueue<>(
          Comparator.<Lane<T>>comparingDouble(lane -> lane.start)
              .thenComparing(lane -> lane.customer));
  private double virtualTime;
  private int size;

  /** An element with its cost. */
  private record Item<T>(T value, long cost) {}

  /** The requests of one customer. */
  private static final class Lane<T> {
    private final CustomerId customer;
    private final ArrayDeque<Item<T>> items = new ArrayDeque<>();
    private double start;

    private Lane(CustomerId customer) {
      this.customer = customer;
    }
  }

  int size() {
    return size;
  }

  int sizeOf(CustomerId customer) {
    Lane<T> lane = lanes.get(customer);
    return lane == null ? 0 : lane.items.size();
  }

  /**
   * Returns the customers that have elements.
   *
   * @return the number of customers
   */
  int lanes() {
    return order.size();
  }

  void add(CustomerId customer, long cost, T value) {
    Lane<T> lane = lanes.computeIfAbsent(customer, Lane::new);
    lane.items.add(new Item<>(value, cost));
    size++;
    if (lane.items.size() == 1) {
      lane.start = Math.max(lane.start, virtualTime);
      order.add(lane);
    }
  }

  /**
   * Returns the next element without taking it.
   *
   * @return the element; null if there is none
   */
  T peek() {
    Lane<T> lane = order.peek();
    return lane == null ? null : lane.items.element().value();
  }

  /**
   * Takes the next element.
   *
   * @return the element; null if there is none
   */
  T poll() {
    Lane<T> lane = order.poll();
    if (lane == null) {
      return null;
    }
    Item<T> item = lane.items.poll();
    size--;
    virtualTime = lane.start;
    lane.start += item.cost();
    if (!lane.items.isEmpty()) {
      order.add(lane);
    }
    forgetIdle();
    return item.value();
  }

  /**
   * Takes the newest element of the customer with the most elements.
   *
   * @return the element; null if there is none
   */
  T pollLongestTail() {
    Lane<T> longest = longest();
    if (longest == null) {
      return null;
    }
    Item<T> item = longest.items.pollLast();
    size--;
    if (longest.items.isEmpty()) {
      order.remove(longest);
    }
    return item.value();
  }

  /**
   * Returns the most elements of one customer.
   *
   * @return the number of elements
   */
  int longestLane() {
    Lane<T> longest = longest();
    return longest == null ? 0 : longest.items.size();
  }

  /**
   * Removes the elements that match.
   *
   * @param condition the condition
   * @return the removed elements
   */
  List<T> removeIf(Predicate<T> condition) {
    List<T> removed = new ArrayList<>();
    for (Lane<T> lane : lanes.values()) {
      for (Iterator<Item<T>> items = lane.items.iterator(); items.hasNext(); ) {
        T value = items.next().value();
        if (condition.test(value)) {
          items.remove();
          removed.add(value);
        }
      }
    }
    size -= removed.size();
    order.removeIf(lane -> lane.items.isEmpty());
    return removed;
  }

  private Lane<T> longest() {
    Lane<T> longest = null;
    for (Lane<T> lane : order) {
      if (longest == null || lane.items.size() > longest.items.size()) {
        longest = lane;
      }
    }
    return longest;
  }

  private void forgetIdle() {
    if (lanes.size() > 2 * order.size() + 16) {
      lanes.values().removeIf(lane -> lane.items.isEmpty() && lane.start <= virtualTime);
    }
  }
}

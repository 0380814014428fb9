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
 * The waiting requests of one request class, ordered by start-time fair queueing between customers.
 * Not thread-safe; guarded by its owner.
 *
 * <p>Each customer has a virtual time that advances by the cost of its requests; the customer with
 * the lowest virtual time is served next.
 *
 * @param <T> the type of the elements
 */
final class FairQueue<T> {
  private final Map<CustomerId, CustomerQueue<T>> queues = new HashMap<>();
  private final PriorityQueue<CustomerQueue<T>> nonEmptyQueues =
      new PriorityQueue<>(
          Comparator.<CustomerQueue<T>>comparingDouble(queue -> queue.virtualStart)
              .thenComparing(queue -> queue.customer));
  private double virtualTime;
  private int size;

  /** An element with its cost. */
  private record Item<T>(T value, long cost) {}

  /** The requests of one customer. */
  private static final class CustomerQueue<T> {
    private final CustomerId customer;
    private final ArrayDeque<Item<T>> items = new ArrayDeque<>();
    private double virtualStart;

    private CustomerQueue(CustomerId customer) {
      this.customer = customer;
    }
  }

  int size() {
    return size;
  }

  int sizeOf(CustomerId customer) {
    CustomerQueue<T> queue = queues.get(customer);
    return queue == null ? 0 : queue.items.size();
  }

  /** Returns the number of customers that have elements. */
  int customerCount() {
    return nonEmptyQueues.size();
  }

  void add(CustomerId customer, long cost, T value) {
    CustomerQueue<T> queue = queues.computeIfAbsent(customer, CustomerQueue::new);
    queue.items.add(new Item<>(value, cost));
    size++;
    if (queue.items.size() == 1) {
      queue.virtualStart = Math.max(queue.virtualStart, virtualTime);
      nonEmptyQueues.add(queue);
    }
  }

  /**
   * Returns the next element without removing it.
   *
   * @return the element; null if there is none
   */
  T peek() {
    CustomerQueue<T> queue = nonEmptyQueues.peek();
    return queue == null ? null : queue.items.element().value();
  }

  /**
   * Removes and returns the next element.
   *
   * @return the element; null if there is none
   */
  T poll() {
    CustomerQueue<T> queue = nonEmptyQueues.poll();
    if (queue == null) {
      return null;
    }
    Item<T> item = queue.items.poll();
    size--;
    virtualTime = queue.virtualStart;
    queue.virtualStart += item.cost();
    if (!queue.items.isEmpty()) {
      nonEmptyQueues.add(queue);
    }
    removeIdleQueues();
    return item.value();
  }

  /**
   * Removes and returns the newest element of the customer with the most elements.
   *
   * @return the element; null if there is none
   */
  T pollNewestOfLongestQueue() {
    CustomerQueue<T> longest = longest();
    if (longest == null) {
      return null;
    }
    Item<T> item = longest.items.pollLast();
    size--;
    if (longest.items.isEmpty()) {
      nonEmptyQueues.remove(longest);
    }
    return item.value();
  }

  /** Returns the number of elements of the customer with the most elements; 0 if there are none. */
  int longestQueueSize() {
    CustomerQueue<T> longest = longest();
    return longest == null ? 0 : longest.items.size();
  }

  /** Removes and returns the elements that match. */
  List<T> removeIf(Predicate<T> condition) {
    List<T> removed = new ArrayList<>();
    for (CustomerQueue<T> queue : queues.values()) {
      for (Iterator<Item<T>> items = queue.items.iterator(); items.hasNext(); ) {
        T value = items.next().value();
        if (condition.test(value)) {
          items.remove();
          removed.add(value);
        }
      }
    }
    size -= removed.size();
    nonEmptyQueues.removeIf(queue -> queue.items.isEmpty());
    return removed;
  }

  private CustomerQueue<T> longest() {
    CustomerQueue<T> longest = null;
    for (CustomerQueue<T> queue : nonEmptyQueues) {
      if (longest == null || queue.items.size() > longest.items.size()) {
        longest = queue;
      }
    }
    return longest;
  }

  private void removeIdleQueues() {
    if (queues.size() > 2 * nonEmptyQueues.size() + 16) {
      queues.values().removeIf(queue -> queue.items.isEmpty() && queue.virtualStart <= virtualTime);
    }
  }
}

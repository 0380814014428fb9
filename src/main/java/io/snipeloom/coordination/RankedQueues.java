package io.snipeloom.coordination;

import io.snipeloom.state.RequestClass;
import io.snipeloom.state.RequestClassId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The waiting requests of an upstream: one fair queue for each request class, ordered by rank. Not
 * thread-safe; guarded by its owner.
 *
 * @param <T> the type of the elements
 */
final class RankedQueues<T> {
  private final Map<RequestClassId, ClassQueue<T>> classes = new HashMap<>();
  private final List<ClassQueue<T>> ranked = new ArrayList<>();
  private final ToLongFunction<T> arrival;

  /** The waiting requests of one class. */
  static final class ClassQueue<T> {
    private final FairQueue<T> waiting = new FairQueue<>();
    private RequestClass requestClass;

    private ClassQueue(RequestClass requestClass) {
      this.requestClass = requestClass;
    }

    int rank() {
      return requestClass.urgency().rank();
    }

    int limit() {
      return requestClass.queueLimit();
    }

    FairQueue<T> waiting() {
      return waiting;
    }

    private boolean isEmpty() {
      return waiting.size() == 0;
    }
  }

  RankedQueues(ToLongFunction<T> arrival) {
    this.arrival = arrival;
  }

  /**
   * Returns the queue of a class, which is created if necessary and adopts a changed definition of
   * the class.
   */
  ClassQueue<T> of(RequestClass requestClass) {
    ClassQueue<T> queue = classes.get(requestClass.id());
    if (queue == null) {
      queue = new ClassQueue<>(requestClass);
      classes.put(requestClass.id(), queue);
      ranked.add(queue);
    } else if (queue.requestClass.equals(requestClass)) {
      return queue;
    }
    queue.requestClass = requestClass;
    ranked.sort(Comparator.comparingInt(ClassQueue::rank));
    return queue;
  }

  int size() {
    int size = 0;
    for (ClassQueue<T> queue : ranked) {
      size += queue.waiting.size();
    }
    return size;
  }

  /**
   * Returns the number of elements with a lower rank, which are served before those of the given
   * rank.
   */
  int sizeBefore(int rank) {
    int size = 0;
    for (ClassQueue<T> queue : ranked) {
      size += queue.rank() < rank ? queue.waiting.size() : 0;
    }
    return size;
  }

  /**
   * Returns the queue to serve next: of the lowest rank that may be served, the queue whose next
   * element arrived first.
   *
   * @param mayServe whether a rank may be served now
   * @param leastUrgentFirst whether to choose the highest rank instead of the lowest
   * @return the queue; null if no waiting element may be served
   */
  ClassQueue<T> next(IntPredicate mayServe, boolean leastUrgentFirst) {
    ClassQueue<T> chosen = null;
    for (ClassQueue<T> queue : ranked) {
      if (!queue.isEmpty()
          && mayServe.test(queue.rank())
          && precedes(queue, chosen, leastUrgentFirst)) {
        chosen = queue;
      }
    }
    return chosen;
  }

  /**
   * Returns the non-empty queue of the highest rank, whose elements are displaced first; null if
   * all queues are empty.
   */
  ClassQueue<T> leastUrgent() {
    ClassQueue<T> leastUrgent = null;
    for (ClassQueue<T> queue : ranked) {
      leastUrgent = queue.isEmpty() ? leastUrgent : queue;
    }
    return leastUrgent;
  }

  /** Removes and returns the elements that match. */
  List<T> removeIf(Predicate<T> condition) {
    List<T> removed = new ArrayList<>();
    for (ClassQueue<T> queue : ranked) {
      if (!queue.isEmpty()) {
        removed.addAll(queue.waiting.removeIf(condition));
      }
    }
    return removed;
  }

  private boolean precedes(ClassQueue<T> queue, ClassQueue<T> chosen, boolean leastUrgentFirst) {
    if (chosen == null || queue.rank() != chosen.rank()) {
      return chosen == null || leastUrgentFirst;
    }
    return arrival.applyAsLong(queue.waiting.peek()) < arrival.applyAsLong(chosen.waiting.peek());
  }
}

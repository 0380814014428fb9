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
 * The waiting requests of an upstream, one fair queue for each request class, ordered by rank;
 * guarded by its owner.
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
   * Returns the queue of a class, and takes over a changed definition of the class.
   *
   * @param requestClass the class
   * @return the queue
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
   * Counts the elements that are served before those of a rank.
   *
   * @param rank the rank
   * @return the elements of lower ranks
   */
  int sizeBefore(int rank) {
    int size = 0;
    for (ClassQueue<T> queue : ranked) {
      size += queue.rank() < rank ? queue.waiting.size() : 0;
    }
    return size;
  }

  /**
   * Chooses the class to serve next: the first rank that may be served, and within it the class
   * whose next element came first.
   *
   * @param mayServe whether a rank may be served now
   * @param lastFirst whether the last rank is chosen rather than the first
   * @return the queue; null if none waits that may be served
   */
  ClassQueue<T> next(IntPredicate mayServe, boolean lastFirst) {
    ClassQueue<T> chosen = null;
    for (ClassQueue<T> queue : ranked) {
      if (!queue.isEmpty() && mayServe.test(queue.rank()) && precedes(queue, chosen, lastFirst)) {
        chosen = queue;
      }
    }
    return chosen;
  }

  /**
   * Returns the class that is shed first.
   *
   * @return the queue of the last rank that waits; null if none waits
   */
  ClassQueue<T> last() {
    ClassQueue<T> last = null;
    for (ClassQueue<T> queue : ranked) {
      last = queue.isEmpty() ? last : queue;
    }
    return last;
  }

  /**
   * Removes the elements that match.
   *
   * @param condition the condition
   * @return the removed elements
   */
  List<T> removeIf(Predicate<T> condition) {
    List<T> removed = new ArrayList<>();
    for (ClassQueue<T> queue : ranked) {
      if (!queue.isEmpty()) {
        removed.addAll(queue.waiting.removeIf(condition));
      }
    }
    return removed;
  }

  private boolean precedes(ClassQueue<T> queue, ClassQueue<T> chosen, boolean lastFirst) {
    if (chosen == null || queue.rank() != chosen.rank()) {
      return chosen == null || lastFirst;
    }
    return arrival.applyAsLong(queue.waiting.peek()) < arrival.applyAsLong(chosen.waiting.peek());
  }
}

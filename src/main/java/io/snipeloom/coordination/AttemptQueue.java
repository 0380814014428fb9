package io.snipeloom.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The attempts that wait for the back end and those that run on it.
 *
 * <p>Attempts are started in order of urgency, then of arrival. An attempt that must run alone
 * starts only when no other is running, and no other starts until it has ended. Performs no I/O.
 * Not thread-safe.
 */
final class AttemptQueue {
  private final int queueLimit;
  private final PriorityQueue<QueuedAttempt> waiting = new PriorityQueue<>();
  private final Set<SidecarAttempt> running = new LinkedHashSet<>();
  private int capacity;
  private long arrivals;
  private boolean exclusive;

  AttemptQueue(int capacity, int queueLimit) {
    this.capacity = capacity;
    this.queueLimit = queueLimit;
  }

  void setCapacity(int newCapacity) {
    capacity = newCapacity;
  }

  int capacity() {
    return capacity;
  }

  boolean isFull() {
    return waiting.size() >= queueLimit;
  }

  /** Removes and returns the last waiting attempt if it is less urgent than the given rank. */
  Optional<SidecarAttempt> removeLessUrgentThan(int rank) {
    Optional<QueuedAttempt> last = waiting.stream().max(Comparator.naturalOrder());
    if (last.isEmpty() || last.get().rank() <= rank) {
      return Optional.empty();
    }
    waiting.remove(last.get());
    return last.map(QueuedAttempt::attempt);
  }

  void add(SidecarAttempt attempt) {
    waiting.add(new QueuedAttempt(attempt.dispatch().urgency().rank(), arrivals++, attempt));
  }

  boolean removeWaiting(SidecarAttempt attempt) {
    return waiting.removeIf(queued -> queued.attempt() == attempt);
  }

  /** Moves the next waiting attempt to the running ones and returns it, if it may start now. */
  Optional<SidecarAttempt> startNext(Predicate<SidecarAttempt> mustRunAlone) {
    if (waiting.isEmpty() || exclusive || running.size() >= capacity) {
      return Optional.empty();
    }
    boolean alone = mustRunAlone.test(waiting.peek().attempt());
    if (alone && !running.isEmpty()) {
      return Optional.empty();
    }
    exclusive = alone;
    SidecarAttempt next = waiting.poll().attempt();
    running.add(next);
    return Optional.of(next);
  }

  boolean isExclusive() {
    return exclusive;
  }

  void finish(SidecarAttempt attempt) {
    if (running.remove(attempt)) {
      exclusive = false;
    }
  }

  List<SidecarAttempt> running() {
    return new ArrayList<>(running);
  }

  List<SidecarAttempt> waiting() {
    return waiting.stream().sorted().map(QueuedAttempt::attempt).toList();
  }

  int runningCount() {
    return running.size();
  }

  int waitingCount() {
    return waiting.size();
  }

  /** A waiting attempt with its sort key. */
  private record QueuedAttempt(int rank, long arrival, SidecarAttempt attempt)
      implements Comparable<QueuedAttempt> {
    @Override
    public int compareTo(QueuedAttempt other) {
      int byRank = Integer.compare(rank, other.rank);
      return byRank != 0 ? byRank : Long.compare(arrival, other.arrival);
    }
  }
}

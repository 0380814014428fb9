package io.snipeloom.coordination;

import io.snipeloom.protocol.CallState;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RequestKey;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a sidecar remembers of attempts and keys that it received or promised never to run.
 *
 * <p>The memory is bounded. What is forgotten stays covered by watermarks: per holder the highest
 * forgotten attempt number, and over all the latest issue time of a forgotten key. Anything at or
 * below a watermark is neither run nor called unreceived. Pure and not thread-safe.
 */
final class AttemptMemory {
  private static final int MAX_HOLDERS = 16_384;

  private final int maxEntries;
  private final long memoryNanos;
  private final Map<AttemptId, Entry> attempts = new LinkedHashMap<>();
  private final Map<RequestKey, KeyEntry> keys = new HashMap<>();
  private final Deque<KeyTombstone> keyTombstones = new ArrayDeque<>();
  private final Set<RequestKey> tombstonedKeys = new HashSet<>();
  private final Map<Incarnation, Long> forgottenByHolder = new LinkedHashMap<>();
  private boolean holdersForgotten;
  private long forgottenIssuedMillis = Long.MIN_VALUE;

  AttemptMemory(int maxEntries, long memoryNanos) {
    this.maxEntries = maxEntries;
    this.memoryNanos = memoryNanos;
  }

  boolean isFull() {
    return attempts.size() >= maxEntries || keyTombstones.size() >= maxEntries;
  }

  /** Returns what is known of an attempt. */
  CallState stateOf(AttemptId attempt) {
    Entry entry = attempts.get(attempt);
    if (entry != null) {
      return entry.state;
    }
    return isForgotten(attempt) ? CallState.UNKNOWN : CallState.NEVER_RECEIVED;
  }

  /** Returns the last attempt received of a key. */
  Optional<AttemptId> attemptOf(RequestKey key) {
    return Optional.ofNullable(keys.get(key)).map(entry -> entry.last);
  }

  /** Returns whether an attempt of the key was received and may have run. */
  boolean mayHaveRun(RequestKey key) {
    KeyEntry entry = keys.get(key);
    return entry != null && entry.mayHaveRun;
  }

  boolean hasTombstone(RequestKey key) {
    return tombstonedKeys.contains(key);
  }

  /** Returns whether a key issued at this time may have been forgotten. */
  boolean isKeyForgotten(long issuedAtMillis) {
    return issuedAtMillis <= forgottenIssuedMillis;
  }

  void receive(AttemptId attempt, RequestKey key, long issuedAtMillis, long nowNanos) {
    remember(new Entry(attempt, key, issuedAtMillis, nowNanos, CallState.RUNNING));
    KeyEntry keyEntry = keys.computeIfAbsent(key, k -> new KeyEntry());
    keyEntry.last = attempt;
    keyEntry.count++;
    keyEntry.mayHaveRun = true;
  }

  /** Promises that an attempt never received will be refused. */
  void plant(AttemptId attempt, long nowNanos) {
    if (!attempts.containsKey(attempt)) {
      remember(new Entry(attempt, null, Long.MIN_VALUE, nowNanos, CallState.NOT_RUN));
    }
  }

  /** Promises that a key never received will be refused. */
  void plantKey(RequestKey key, long issuedAtMillis, long nowNanos) {
    if (tombstonedKeys.add(key)) {
      keyTombstones.addLast(new KeyTombstone(key, issuedAtMillis, nowNanos));
    }
  }

  /** Notes what became of an attempt that was received. */
  void conclude(AttemptId attempt, CallState state) {
    Entry entry = attempts.get(attempt);
    entry.state = state;
    if (state == CallState.NOT_RUN) {
      keys.get(entry.key).mayHaveRun = false;
    }
  }

  /** Forgets what is old, but never an attempt that still runs. */
  void expire(long nowNanos) {
    expireAttempts(nowNanos);
    while (!keyTombstones.isEmpty() && isOld(keyTombstones.peekFirst().plantedNanos, nowNanos)) {
      KeyTombstone tombstone = keyTombstones.removeFirst();
      tombstonedKeys.remove(tombstone.key);
      forgottenIssuedMillis = Math.max(forgottenIssuedMillis, tombstone.issuedAtMillis);
    }
  }

  private void expireAttempts(long nowNanos) {
    var oldest = attempts.values().iterator();
    while (oldest.hasNext()) {
      Entry entry = oldest.next();
      if (entry.state == CallState.RUNNING || !isOld(entry.receivedNanos, nowNanos)) {
        return;
      }
      oldest.remove();
      forget(entry);
    }
  }

  private boolean isOld(long sinceNanos, long nowNanos) {
    return nowNanos - sinceNanos > memoryNanos;
  }

  private void remember(Entry entry) {
    attempts.put(entry.attempt, entry);
  }

  private void forget(Entry entry) {
    forgottenByHolder.merge(entry.attempt.holder(), entry.attempt.sequence(), Math::max);
    if (forgottenByHolder.size() > MAX_HOLDERS) {
      var eldest = forgottenByHolder.keySet().iterator();
      eldest.next();
      eldest.remove();
      holdersForgotten = true;
    }
    if (entry.key != null) {
      forgottenIssuedMillis = Math.max(forgottenIssuedMillis, entry.issuedAtMillis);
      keys.computeIfPresent(entry.key, (key, keyEntry) -> --keyEntry.count == 0 ? null : keyEntry);
    }
  }

  private boolean isForgotten(AttemptId attempt) {
    Long highest = forgottenByHolder.get(attempt.holder());
    return highest == null ? holdersForgotten : attempt.sequence() <= highest;
  }

  /** What is known of one attempt. */
  private static final class Entry {
    private final AttemptId attempt;
    private final RequestKey key;
    private final long issuedAtMillis;
    private final long receivedNanos;
    private CallState state;

    Entry(
        AttemptId attempt,
        RequestKey key,
        long issuedAtMillis,
        long receivedNanos,
        CallState state) {
      this.attempt = attempt;
      this.key = key;
      this.issuedAtMillis = issuedAtMillis;
      this.receivedNanos = receivedNanos;
      this.state = state;
    }
  }

  /** What is known of one key. */
  private static final class KeyEntry {
    private AttemptId last;
    private int count;
    private boolean mayHaveRun;
  }

  /** A promise never to run a key. */
  private record KeyTombstone(RequestKey key, long issuedAtMillis, long plantedNanos) {}
}

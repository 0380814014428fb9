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
 * Records the attempts and request keys that a sidecar has received, or has promised never to run
 * (tombstones).
 *
 * <p>The number of records is bounded. Forgotten (deleted) records remain covered by watermarks:
 * for each holder the highest number of a forgotten attempt, and for all keys the latest issue time
 * of a forgotten one. An attempt or key at or below a watermark is neither run nor reported as
 * never received. Performs no I/O. Not thread-safe.
 */
final class AttemptMemory {
  private static final int MAX_HOLDERS = 16_384;

  private final int maxEntries;
  private final long retentionNanos;
  private final Map<AttemptId, Entry> attempts = new LinkedHashMap<>();
  private final Map<RequestKey, KeyEntry> keys = new HashMap<>();
  private final Deque<KeyTombstone> keyTombstones = new ArrayDeque<>();
  private final Set<RequestKey> tombstonedKeys = new HashSet<>();
  private final Map<Incarnation, Long> highestForgottenByHolder = new LinkedHashMap<>();

  /** Whether watermarks were dropped, so that attempts of unknown holders may be forgotten. */
  private boolean holderWatermarkDropped;

  private long latestForgottenIssueMillis = Long.MIN_VALUE;

  AttemptMemory(int maxEntries, long retentionNanos) {
    this.maxEntries = maxEntries;
    this.retentionNanos = retentionNanos;
  }

  boolean isFull() {
    return attempts.size() >= maxEntries || keyTombstones.size() >= maxEntries;
  }

  /** Returns the state of an attempt; {@link CallState#UNKNOWN} if it may have been forgotten. */
  CallState stateOf(AttemptId attempt) {
    Entry entry = attempts.get(attempt);
    if (entry != null) {
      return entry.state;
    }
    return isForgotten(attempt) ? CallState.UNKNOWN : CallState.NEVER_RECEIVED;
  }

  /** Returns the attempt of a key that was received last. */
  Optional<AttemptId> attemptOf(RequestKey key) {
    return Optional.ofNullable(keys.get(key)).map(entry -> entry.lastAttempt);
  }

  /** Returns whether an attempt of the key was received and may have run. */
  boolean mayHaveRun(RequestKey key) {
    KeyEntry entry = keys.get(key);
    return entry != null && entry.mayHaveRun;
  }

  boolean hasTombstone(RequestKey key) {
    return tombstonedKeys.contains(key);
  }

  /** Returns whether the record of a key issued at this time may have been forgotten. */
  boolean isKeyForgotten(long issuedAtMillis) {
    return issuedAtMillis <= latestForgottenIssueMillis;
  }

  void recordReceived(AttemptId attempt, RequestKey key, long issuedAtMillis, long nowNanos) {
    addRecord(new Entry(attempt, key, issuedAtMillis, nowNanos, CallState.RUNNING));
    KeyEntry keyEntry = keys.computeIfAbsent(key, k -> new KeyEntry());
    keyEntry.lastAttempt = attempt;
    keyEntry.attemptCount++;
    keyEntry.mayHaveRun = true;
  }

  /** Records the promise to refuse an attempt that has not been received so far. */
  void addTombstone(AttemptId attempt, long nowNanos) {
    if (!attempts.containsKey(attempt)) {
      addRecord(new Entry(attempt, null, Long.MIN_VALUE, nowNanos, CallState.NOT_RUN));
    }
  }

  /** Records the promise to refuse a key that has not been received so far. */
  void addKeyTombstone(RequestKey key, long issuedAtMillis, long nowNanos) {
    if (tombstonedKeys.add(key)) {
      keyTombstones.addLast(new KeyTombstone(key, issuedAtMillis, nowNanos));
    }
  }

  /** Records the result of an attempt that was received. */
  void recordResult(AttemptId attempt, CallState state) {
    Entry entry = attempts.get(attempt);
    entry.state = state;
    if (state == CallState.NOT_RUN) {
      keys.get(entry.key).mayHaveRun = false;
    }
  }

  /**
   * Forgets key tombstones, and attempts up to the oldest one that is still running, once they are
   * older than the retention time.
   */
  void expire(long nowNanos) {
    expireAttempts(nowNanos);
    while (!keyTombstones.isEmpty() && isOld(keyTombstones.peekFirst().createdNanos, nowNanos)) {
      KeyTombstone tombstone = keyTombstones.removeFirst();
      tombstonedKeys.remove(tombstone.key);
      latestForgottenIssueMillis = Math.max(latestForgottenIssueMillis, tombstone.issuedAtMillis);
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
    return nowNanos - sinceNanos > retentionNanos;
  }

  private void addRecord(Entry entry) {
    attempts.put(entry.attempt, entry);
  }

  private void forget(Entry entry) {
    highestForgottenByHolder.merge(entry.attempt.holder(), entry.attempt.sequence(), Math::max);
    if (highestForgottenByHolder.size() > MAX_HOLDERS) {
      var eldest = highestForgottenByHolder.keySet().iterator();
      eldest.next();
      eldest.remove();
      holderWatermarkDropped = true;
    }
    if (entry.key != null) {
      latestForgottenIssueMillis = Math.max(latestForgottenIssueMillis, entry.issuedAtMillis);
      keys.computeIfPresent(
          entry.key, (key, keyEntry) -> --keyEntry.attemptCount == 0 ? null : keyEntry);
    }
  }

  private boolean isForgotten(AttemptId attempt) {
    Long highest = highestForgottenByHolder.get(attempt.holder());
    return highest == null ? holderWatermarkDropped : attempt.sequence() <= highest;
  }

  /** The record of one attempt. The key is null if the attempt was never received. */
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

  /** The record of one key. */
  private static final class KeyEntry {
    private AttemptId lastAttempt;
    private int attemptCount;
    private boolean mayHaveRun;
  }

  /** The promise never to run a request with this key. */
  private record KeyTombstone(RequestKey key, long issuedAtMillis, long createdNanos) {}
}

package io.snipeloom.state;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Identifies requests that crash engines. A request that was in flight during a crash becomes a
 * suspect and must run alone. It is convicted, and from then on refused, if it was alone during a
 * crash or if a second crash is reported for it.
 */
final class CrashTable {
  private final DecisionLimits limits;
  private final Map<String, CrashEntry> suspects = new LinkedHashMap<>();
  private final Map<String, CrashEntry> convictions = new LinkedHashMap<>();

  CrashTable(DecisionLimits limits) {
    this.limits = limits;
  }

  boolean isSuspect(String fingerprint) {
    return suspects.containsKey(fingerprint);
  }

  boolean isConvicted(String fingerprint) {
    return convictions.containsKey(fingerprint);
  }

  void report(long offset, DecisionRecord.CrashReported crash, List<DecisionEvent> events) {
    String fingerprint = crash.fingerprint();
    if (convictions.containsKey(fingerprint)) {
      return;
    }
    CrashEntry earlier = suspects.get(fingerprint);
    boolean sameCrash =
        earlier != null && earlier.offset() == offset && earlier.sidecar().equals(crash.sidecar());
    CrashEntry entry = new CrashEntry(fingerprint, crash.sidecar(), offset);
    if (crash.alone() || (earlier != null && !sameCrash)) {
      suspects.remove(fingerprint);
      convictions.put(fingerprint, entry);
      evictOldestIfOverLimit(convictions);
      events.add(new DecisionEvent.RequestConvicted(offset, fingerprint));
    } else if (earlier == null) {
      suspects.put(fingerprint, entry);
      evictOldestIfOverLimit(suspects);
      events.add(new DecisionEvent.SuspectReported(offset, fingerprint));
    }
  }

  void clear(long offset, DecisionRecord.SuspectCleared record, List<DecisionEvent> events) {
    if (suspects.remove(record.fingerprint()) != null) {
      events.add(new DecisionEvent.SuspectCleared(offset, record.fingerprint()));
    }
  }

  void lift(long offset, DecisionRecord.ConvictionLifted record, List<DecisionEvent> events) {
    suspects.remove(record.fingerprint());
    if (convictions.remove(record.fingerprint()) != null) {
      events.add(new DecisionEvent.ConvictionEnded(offset, record.fingerprint(), true));
    }
  }

  /** Removes expired entries; only these and the first entry that is still valid are visited. */
  void expire(long offset, List<DecisionEvent> events) {
    removeExpired(suspects, offset);
    for (CrashEntry expired : removeExpired(convictions, offset)) {
      events.add(new DecisionEvent.ConvictionEnded(offset, expired.fingerprint(), false));
    }
  }

  private List<CrashEntry> removeExpired(Map<String, CrashEntry> entries, long offset) {
    List<CrashEntry> removed = List.of();
    Iterator<CrashEntry> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      CrashEntry entry = oldest.next();
      if (entry.offset() >= offset - limits.crashRetentionOffsets()) {
        break;
      }
      oldest.remove();
      removed = removed.isEmpty() ? new ArrayList<>() : removed;
      removed.add(entry);
    }
    return removed;
  }

  private void evictOldestIfOverLimit(Map<String, CrashEntry> entries) {
    if (entries.size() > limits.maxCrashEntries()) {
      Iterator<CrashEntry> oldest = entries.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  Image image() {
    return new Image(List.copyOf(suspects.values()), List.copyOf(convictions.values()));
  }

  void restore(Image image) {
    image.suspects().forEach(entry -> suspects.put(entry.fingerprint(), entry));
    image.convictions().forEach(entry -> convictions.put(entry.fingerprint(), entry));
  }

  /** The crash that made a request a suspect or convicted it. */
  record CrashEntry(String fingerprint, Incarnation sidecar, long offset) {}

  /** The suspects and convictions, each in the order of their crashes. */
  record Image(List<CrashEntry> suspects, List<CrashEntry> convictions) {}
}

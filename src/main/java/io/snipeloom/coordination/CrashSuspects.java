package io.snipeloom.coordination;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests that were in flight when this sidecar's engine crashed, which are known here before
 * the crash report is in the log.
 *
 * <p>A request becomes a suspect at its first crash. It is convicted if it was the only request in
 * flight, or at its second crash. The number of entries is bounded. Not thread-safe.
 */
final class CrashSuspects {
  private static final int MAX_ENTRIES = 4096;

  private final DecisionLookup decisions;
  private final Map<String, Boolean> convictedByFingerprint = new LinkedHashMap<>();

  CrashSuspects(DecisionLookup decisions) {
    this.decisions = decisions;
  }

  boolean isSuspect(String fingerprint) {
    return decisions.isSuspect(fingerprint) || convictedByFingerprint.containsKey(fingerprint);
  }

  /** Returns whether the request is a suspect according to the log. */
  boolean isRecordedSuspect(String fingerprint) {
    return decisions.isSuspect(fingerprint);
  }

  boolean isConvicted(String fingerprint) {
    return decisions.isConvicted(fingerprint)
        || convictedByFingerprint.getOrDefault(fingerprint, false);
  }

  /** Records a crash with the fingerprints of the requests that were in flight. */
  void recordCrash(List<String> fingerprints) {
    boolean alone = fingerprints.size() == 1;
    for (String fingerprint : fingerprints) {
      convictedByFingerprint.merge(fingerprint, alone, (earlier, now) -> true);
    }
    while (convictedByFingerprint.size() > MAX_ENTRIES) {
      var eldest = convictedByFingerprint.keySet().iterator();
      eldest.next();
      eldest.remove();
    }
  }

  /** Removes a request that ran alone to completion, or whose suspicion or conviction has ended. */
  void clear(String fingerprint) {
    convictedByFingerprint.remove(fingerprint);
  }
}

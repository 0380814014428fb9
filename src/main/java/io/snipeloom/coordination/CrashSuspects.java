package io.snipeloom.coordination;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests that were in flight at a crash of this sidecar's engine, known before the log knows
 * them.
 *
 * <p>The first crash makes a request a suspect; a crash while it ran alone, or a second one,
 * convicts it here. Bounded, pure and not thread-safe.
 */
final class CrashSuspects {
  private static final int MAX_ENTRIES = 4096;

  private final DecisionLookup decisions;
  private final Map<String, Boolean> convictedByPrint = new LinkedHashMap<>();

  CrashSuspects(DecisionLookup decisions) {
    this.decisions = decisions;
  }

  boolean isSuspect(String fingerprint) {
    return decisions.isSuspect(fingerprint) || convictedByPrint.containsKey(fingerprint);
  }

  /** Returns whether the log has the request as a suspect. */
  boolean isRecordedSuspect(String fingerprint) {
    return decisions.isSuspect(fingerprint);
  }

  boolean isConvicted(String fingerprint) {
    return decisions.isConvicted(fingerprint) || convictedByPrint.getOrDefault(fingerprint, false);
  }

  /** Notes one crash with the requests that were in flight. */
  void note(List<String> fingerprints) {
    boolean alone = fingerprints.size() == 1;
    for (String fingerprint : fingerprints) {
      convictedByPrint.merge(fingerprint, alone, (earlier, now) -> true);
    }
    while (convictedByPrint.size() > MAX_ENTRIES) {
      var eldest = convictedByPrint.keySet().iterator();
      eldest.next();
      eldest.remove();
    }
  }

  /** Notes that a request ran alone to its end, or that its conviction has ended. */
  void clear(String fingerprint) {
    convictedByPrint.remove(fingerprint);
  }
}

package io.snipeloom.state;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds requests that crash their engines: the first crash makes a request a suspect, which runs
 * alone; a crash while alone, or a second crash, convicts it.
 */
final class CrashTable {
  private final DecisionLimits limits;
  private final Map<String, Sighting> suspects = new LinkedHashMap<>();
  private final Map<String, Sighting> convictions = new LinkedHashMap<>();

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
    Sighting earlier = suspects.get(fingerprint);
    boolean sameCrash =
        earlier != null && earlier.offset() == offset && earlier.sidecar().equals(crash.sidecar());
    Sighting sighting = new Sighting(fingerprint, crash.sidecar(), offset);
    if (crash.alone() || (earlier != null && !sameCrash)) {
      suspects.remove(fingerprint);
      convictions.put(fingerprint, sighting);
      dropOverflow(convictions);
      events.add(new DecisionEvent.Convicted(offset, fingerprint));
    } else if (earlier == null) {
      suspects.put(fingerprint, sighting);
      dropOverflow(suspects);
      events.add(new DecisionEvent.SuspectNoted(offset, fingerprint));
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

  /** Forgets what is older than the bound; each sighting is visited once. */
  void expire(long offset, List<DecisionEvent> events) {
    dropExpired(suspects, offset);
    for (Sighting expired : dropExpired(convictions, offset)) {
      events.add(new DecisionEvent.ConvictionEnded(offset, expired.fingerprint(), false));
    }
  }

  private List<Sighting> dropExpired(Map<String, Sighting> sightings, long offset) {
    List<Sighting> dropped = List.of();
    Iterator<Sighting> oldest = sightings.values().iterator();
    while (oldest.hasNext()) {
      Sighting sighting = oldest.next();
      if (sighting.offset() >= offset - limits.convictionOffsets()) {
        break;
      }
      oldest.remove();
      dropped = dropped.isEmpty() ? new ArrayList<>() : dropped;
      dropped.add(sighting);
    }
    return dropped;
  }

  private void dropOverflow(Map<String, Sighting> sightings) {
    if (sightings.size() > limits.crashMemory()) {
      Iterator<Sighting> oldest = sightings.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  Image image() {
    return new Image(List.copyOf(suspects.values()), List.copyOf(convictions.values()));
  }

  void restore(Image image) {
    image.suspects().forEach(sighting -> suspects.put(sighting.fingerprint(), sighting));
    image.convictions().forEach(sighting -> convictions.put(sighting.fingerprint(), sighting));
  }

  /** The last crash that counted for a request. */
  record Sighting(String fingerprint, Incarnation sidecar, long offset) {}

  /** The suspects and convictions in the order of their crashes. */
  record Image(List<Sighting> suspects, List<Sighting> convictions) {}
}

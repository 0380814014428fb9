package io.snipeloom.crashes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Decides which requests are refused because requests like them crash replicas.
 *
 * <p>Each instance records the crashes that it sees in the store and reads those of the others, so
 * that all together need no more crashes than one alone. A conviction is stored too; it outlasts
 * every process. While the store is away, an instance decides by what it sees itself and records it
 * later.
 *
 * <p>Confined to the event loop thread.
 */
public final class CrashControl {
  /** How long a conviction lasts unless it is lifted before, in milliseconds. */
  private static final long CONVICTION_MILLIS = 86_400_000L;

  /** The most convictions that are kept; the oldest one makes room. */
  private static final int MAX_CONVICTIONS = 1_000;

  /** The most crashes that wait to be recorded; the oldest one makes room. */
  private static final int MAX_UNRECORDED = 64;

  /** The most calls per second with which the whole fleet records that traits are sound. */
  private static final int MAX_FLEET_RECORDINGS_PER_SECOND = 100;

  /** The pause after a call to the store that failed. */
  private static final long RETRY_DELAY_NANOS = 500_000_000L;

  /** The time between two decisions while no evidence is added. */
  private static final long DECISION_INTERVAL_NANOS = 250_000_000L;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ConvictionStore store;
  private final LongSupplier timeOfDayMillis;
  private final IntSupplier fleetSize;
  private final Listener listener;
  private final TraitShares shares = new TraitShares();
  private final CrashEvidence evidence = new CrashEvidence();
  private final Map<RequestTrait, Conviction> convictions = new LinkedHashMap<>();
  private final Set<RequestTrait> unstored = new LinkedHashSet<>();
  private final Set<RequestTrait> unremoved = new LinkedHashSet<>();
  private final Deque<Seen> unrecorded = new ArrayDeque<>();
  private final Set<RequestTrait> soundToRecord = new LinkedHashSet<>();
  private boolean undecided;
  private boolean evidenceAdded;
  private long lastDecisionNanos = Long.MIN_VALUE / 2;
  private boolean storing;
  private boolean recording;
  private long lastFailureNanos = Long.MIN_VALUE / 2;
  private long lastSoundRecordingNanos = Long.MIN_VALUE / 2;

  /** A crash that this instance saw. */
  private record Seen(CrashReport report, long crashedNanos) {
    CrashReport reportAt(long nowNanos) {
      return report.withAgeMillis(Math.max(0, (nowNanos - crashedNanos) / NANOS_PER_MILLI));
    }
  }

  /** Why a conviction ended. */
  public enum EndReason {
    /** A replica survived a request with the trait. */
    SOUND,
    /** It was removed from the store by another instance or an operator. */
    REMOVED,
    /** It has lasted its time. */
    EXPIRED,
    /** There were too many. */
    DISPLACED
  }

  /** Receives what changes. */
  public interface Listener {

    /** Called when requests with a trait begin to be refused. */
    void onConvicted(Conviction conviction);

    /** Called when requests with a trait are no longer refused. */
    void onConvictionEnded(RequestTrait trait, EndReason reason);

    /** Called when this instance saw a replica crash. */
    void onCrash(CrashReport report);

    /** Called when evidence of another instance was read. */
    void onEvidence(String instance, EvidenceBatch batch);

    /** Called when evidence or a conviction could not be stored; it will be tried again. */
    void onStoreFailed(int crashes);
  }

  /**
   * Creates a control without evidence and convictions.
   *
   * @param store stores evidence and convictions
   * @param timeOfDayMillis the time of day, in Unix milliseconds
   * @param fleetSize the number of instances, at least 1
   * @param listener receives what changes
   */
  public CrashControl(
      ConvictionStore store,
      LongSupplier timeOfDayMillis,
      IntSupplier fleetSize,
      Listener listener) {
    this.store = store;
    this.timeOfDayMillis = timeOfDayMillis;
    this.fleetSize = fleetSize;
    this.listener = listener;
  }

  /**
   * Returns why a request is to be refused.
   *
   * @param traits the traits of the request
   * @return the conviction of one of them, empty if there is none
   */
  public Optional<Conviction> find(Collection<RequestTrait> traits) {
    if (convictions.isEmpty()) {
      return Optional.empty();
    }
    return traits.stream().filter(convictions::containsKey).findFirst().map(convictions::get);
  }

  /** Counts an attempt that is sent to a replica. */
  public void onSent(Collection<RequestTrait> traits, long nowNanos) {
    shares.onSent(traits, nowNanos);
  }

  /**
   * Records that a replica crashed.
   *
   * @param replica the incarnation of the replica
   * @param crashedNanos when it crashed
   * @param inFlight what this instance had in flight there
   */
  public void onCrash(String replica, long crashedNanos, List<InFlight> inFlight, long nowNanos) {
    CrashReport report = CrashReport.of(replica, crashedNanos, inFlight, shares, nowNanos);
    unrecorded.addLast(new Seen(report, crashedNanos));
    while (unrecorded.size() > MAX_UNRECORDED) {
      unrecorded.removeFirst();
    }
    listener.onCrash(report);
    learn(report, nowNanos);
  }

  /**
   * Records that a replica survived a request.
   *
   * @param traits the traits of the request
   */
  public void onSound(Collection<RequestTrait> traits, long nowNanos) {
    for (RequestTrait trait : traits) {
      if (evidence.isSuspected(trait)) {
        soundToRecord.add(trait);
      }
      if (trait.kind().isShared() || evidence.isSuspected(trait)) {
        evidence.addSound(trait, nowNanos);
      }
      if (end(trait, EndReason.SOUND)) {
        unremoved.add(trait);
      }
    }
  }

  /**
   * Applies evidence of another instance.
   *
   * @param instance the name of the instance
   * @param batch the evidence
   */
  public void onEvidence(String instance, EvidenceBatch batch, long nowNanos) {
    listener.onEvidence(instance, batch);
    for (SoundTrait sound : batch.sound()) {
      evidence.addSound(sound.trait(), nowNanos - sound.ageMillis() * NANOS_PER_MILLI);
      soundToRecord.remove(sound.trait());
    }
    batch.crashes().forEach(report -> learn(report, nowNanos));
  }

  private void learn(CrashReport report, long nowNanos) {
    evidence.addCrash(report, nowNanos);
    undecided = true;
    evidenceAdded = true;
    for (Suspect suspect : report.suspects()) {
      if (evidence.lastSoundNanos(suspect.trait(), nowNanos).isPresent()) {
        soundToRecord.add(suspect.trait());
      }
    }
  }

  /** Stores all convictions again, because the store may have lost them. */
  public void onStoreReverted() {
    unstored.addAll(convictions.keySet());
  }

  /** Applies a conviction that is stored. */
  public void onStored(Conviction conviction) {
    unstored.remove(conviction.trait());
    if (convictions.put(conviction.trait(), conviction) == null) {
      listener.onConvicted(conviction);
      displaceOldest();
    }
  }

  /** Applies that the conviction of a trait is no longer stored. */
  public void onRemoved(RequestTrait trait) {
    unremoved.remove(trait);
    evidence.clear(trait);
    end(trait, EndReason.REMOVED);
  }

  /**
   * Applies all convictions that are stored. Those of this instance that it has yet to store stay.
   */
  public void onListed(Collection<Conviction> stored) {
    Set<RequestTrait> kept = new HashSet<>(unstored);
    stored.forEach(conviction -> kept.add(conviction.trait()));
    List<RequestTrait> gone = new ArrayList<>(convictions.keySet());
    gone.removeAll(kept);
    gone.forEach(this::onRemoved);
    stored.forEach(this::onStored);
  }

  /** Decides and starts the calls that are due. To be called about 20 times a second. */
  public void tick(long nowNanos) {
    if (undecided && (evidenceAdded || nowNanos - lastDecisionNanos >= DECISION_INTERVAL_NANOS)) {
      decide(nowNanos);
    }
    endExpired();
    if (nowNanos - lastFailureNanos < RETRY_DELAY_NANOS) {
      return;
    }
    storeConvictions(nowNanos);
    recordEvidence(nowNanos);
  }

  private void decide(long nowNanos) {
    List<CrashEvidence.Culprit> culprits =
        evidence.findCulprits(convictions::containsKey, nowNanos);
    while (!culprits.isEmpty()) {
      for (CrashEvidence.Culprit culprit : culprits) {
        Conviction conviction =
            new Conviction(culprit.trait(), culprit.crashes(), timeOfDayMillis.getAsLong());
        convictions.put(culprit.trait(), conviction);
        unstored.add(culprit.trait());
        listener.onConvicted(conviction);
      }
      displaceOldest();
      culprits = evidence.findCulprits(convictions::containsKey, nowNanos);
    }
    undecided = evidence.mayDecideLater(nowNanos);
    evidenceAdded = false;
    lastDecisionNanos = nowNanos;
  }

  private void displaceOldest() {
    while (convictions.size() > MAX_CONVICTIONS) {
      RequestTrait oldest = convictions.keySet().iterator().next();
      end(oldest, EndReason.DISPLACED);
      unremoved.add(oldest);
    }
  }

  private void endExpired() {
    if (convictions.isEmpty()) {
      return;
    }
    long now = timeOfDayMillis.getAsLong();
    List<RequestTrait> expired =
        convictions.values().stream()
            .filter(conviction -> now - conviction.decidedAtMillis() > CONVICTION_MILLIS)
            .map(Conviction::trait)
            .toList();
    for (RequestTrait trait : expired) {
      end(trait, EndReason.EXPIRED);
      unremoved.add(trait);
    }
  }

  /** Ends a conviction and returns whether there was one. */
  private boolean end(RequestTrait trait, EndReason reason) {
    unstored.remove(trait);
    if (convictions.remove(trait) == null) {
      return false;
    }
    evidence.clear(trait);
    listener.onConvictionEnded(trait, reason);
    return true;
  }

  private void storeConvictions(long nowNanos) {
    if (storing) {
      return;
    }
    if (!unremoved.isEmpty()) {
      RequestTrait trait = unremoved.iterator().next();
      storing = true;
      store.remove(trait, done -> onCallEnded(done, () -> unremoved.remove(trait), nowNanos));
    } else if (!unstored.isEmpty()) {
      RequestTrait trait = unstored.iterator().next();
      storing = true;
      store.put(
          convictions.get(trait),
          done -> onCallEnded(done, () -> unstored.remove(trait), nowNanos));
    }
  }

  private void onCallEnded(boolean done, Runnable onDone, long startNanos) {
    storing = false;
    if (done) {
      onDone.run();
    } else {
      lastFailureNanos = startNanos;
      listener.onStoreFailed(unrecorded.size());
    }
  }

  private void recordEvidence(long nowNanos) {
    boolean soundDue =
        !soundToRecord.isEmpty()
            && nowNanos - lastSoundRecordingNanos >= soundRecordingIntervalNanos();
    if (recording || (unrecorded.isEmpty() && !soundDue)) {
      return;
    }
    recording = true;
    lastSoundRecordingNanos = nowNanos;
    List<Seen> seen = List.copyOf(unrecorded);
    List<CrashReport> reports = seen.stream().map(one -> one.reportAt(nowNanos)).toList();
    EvidenceBatch batch = new EvidenceBatch(reports, soundTraits(nowNanos));
    soundToRecord.clear();
    store.append(batch, done -> onRecorded(done, seen, batch, nowNanos));
  }

  private List<SoundTrait> soundTraits(long nowNanos) {
    List<SoundTrait> sound = new ArrayList<>();
    for (RequestTrait trait : soundToRecord) {
      OptionalLong atNanos = evidence.lastSoundNanos(trait, nowNanos);
      if (atNanos.isPresent()) {
        sound.add(new SoundTrait(trait, (nowNanos - atNanos.getAsLong()) / NANOS_PER_MILLI));
      }
    }
    return sound;
  }

  private void onRecorded(boolean done, List<Seen> seen, EvidenceBatch batch, long startNanos) {
    recording = false;
    if (done) {
      unrecorded.removeAll(seen);
    } else {
      batch.sound().forEach(sound -> soundToRecord.add(sound.trait()));
      lastFailureNanos = startNanos;
      listener.onStoreFailed(unrecorded.size());
    }
  }

  private long soundRecordingIntervalNanos() {
    return fleetSize.getAsInt() * NANOS_PER_SECOND / MAX_FLEET_RECORDINGS_PER_SECOND;
  }
}

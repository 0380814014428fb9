package io.snipeloom.crashes;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Decides which requests are refused because requests like them crash replicas.
 *
 * <p>A request is refused once {@link RequestCrashCounts#MAX_CRASHES} replicas ended while it was
 * in flight there, whatever ended them. It may be sent once more, by one instance, to find out
 * whether it crashes replicas after all. Requests with a part in their prompts are refused once
 * {@link CrashEvidence} shows that the part crashes replicas.
 *
 * <p>Each instance records what it sees in the store and reads what the others see, so that all
 * together need no more crashes than one alone. A conviction is stored too; it outlasts every
 * process. While the store is away, an instance decides by what it sees itself and records it
 * later.
 *
 * <p>Confined to the event loop thread.
 */
public final class CrashControl {
  /** The time between two decisions while no evidence is added. */
  private static final long DECISION_INTERVAL_NANOS = 250_000_000L;

  /** How long after the last crash under a request it may be tried, so that a wave is over. */
  private static final long TRIAL_DELAY_NANOS = 1_000_000_000L;

  /** The pause after a call to the store that failed. */
  private static final long RETRY_DELAY_NANOS = 500_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ConvictionStore store;
  private final String claimant;
  private final LongSupplier timeOfDayMillis;
  private final Listener listener;
  private final TraitShares shares = new TraitShares();
  private final CrashEvidence evidence = new CrashEvidence();
  private final RequestCrashCounts counts = new RequestCrashCounts();
  private final RequestTrials trials;
  private final Convictions convictions;
  private final EvidenceRecorder recorder;
  private boolean undecided;
  private boolean evidenceAdded;
  private boolean restoringTrial;
  private long lastTrialFailureNanos = Long.MIN_VALUE / 2;
  private long lastDecisionNanos = Long.MIN_VALUE / 2;

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

    /**
     * Called when this instance saw a replica end under a request.
     *
     * @param crashes the replicas that are known to have ended under it
     */
    void onRequestCrash(RequestTrait request, ReplicaIncarnation replica, int crashes);

    /** Called when it is known whether this instance has the trial of a request. */
    void onTrial(RequestTrait request, boolean granted);

    /** Called when evidence of another instance was read. */
    void onEvidence(String instance, EvidenceBatch batch);

    /** Called when evidence could not be stored; it will be tried again. */
    void onEvidenceNotStored(int crashes);

    /** Called when convictions could not be stored or removed; it will be tried again. */
    void onConvictionNotStored(int convictions);
  }

  /**
   * Creates a control without evidence and convictions.
   *
   * @param store stores evidence and convictions
   * @param claimant identifies this incarnation of the instance
   * @param timeOfDayMillis the time of day, in Unix milliseconds
   * @param fleetSize the number of instances, at least 1
   * @param listener receives what changes
   */
  public CrashControl(
      ConvictionStore store,
      String claimant,
      LongSupplier timeOfDayMillis,
      IntSupplier fleetSize,
      Listener listener) {
    this.store = store;
    this.claimant = claimant;
    this.timeOfDayMillis = timeOfDayMillis;
    this.listener = listener;
    this.trials = new RequestTrials(claimant);
    this.convictions = new Convictions(store, timeOfDayMillis, listener, this::forget);
    this.recorder = new EvidenceRecorder(store, fleetSize, listener, evidence);
  }

  /**
   * Decides on a request that has arrived. The answer may take as long as a write to the store.
   *
   * @param listener called once
   */
  public void admit(RequestTraits traits, long nowNanos, Consumer<Admission> listener) {
    Optional<Conviction> conviction = find(traits);
    if (conviction.isEmpty()) {
      listener.accept(Admission.ADMITTED);
    } else if (isTrialDue(traits, nowNanos)) {
      claimTrial(traits.request(), conviction.get(), nowNanos, listener);
    } else {
      listener.accept(Admission.refused(conviction.get()));
    }
  }

  private boolean isTrialDue(RequestTraits traits, long nowNanos) {
    RequestTrait request = traits.request();
    long lastCrashNanos = counts.lastCrashNanos(request).orElse(nowNanos - TRIAL_DELAY_NANOS);
    return findPart(traits).isEmpty()
        && convictions.contains(request)
        && trials.isOpen(request)
        && !trials.isPending(request)
        && nowNanos - lastCrashNanos >= TRIAL_DELAY_NANOS;
  }

  private void claimTrial(
      RequestTrait request, Conviction conviction, long nowNanos, Consumer<Admission> whenDecided) {
    trials.await(
        request,
        granted -> {
          listener.onTrial(request, granted);
          whenDecided.accept(granted ? Admission.TRIAL : Admission.refused(conviction));
        },
        nowNanos);
    store.claimTrial(
        request,
        claimant,
        stored -> {
          if (!stored) {
            trials.onNotStored(request);
          }
        });
  }

  /**
   * Returns why a request is to be refused.
   *
   * @return the conviction of one of its traits, empty if there is none
   */
  public Optional<Conviction> find(RequestTraits traits) {
    return findPart(traits).or(() -> findRequest(traits.request()));
  }

  /** Returns why a request is to be refused although it has a trial, empty if it is not. */
  public Optional<Conviction> findPart(RequestTraits traits) {
    return traits.parts().stream().flatMap(part -> convictions.find(part).stream()).findFirst();
  }

  private Optional<Conviction> findRequest(RequestTrait request) {
    Optional<Conviction> conviction = convictions.find(request);
    int crashes = counts.count(request);
    if (conviction.isPresent() || crashes < RequestCrashCounts.MAX_CRASHES) {
      return conviction;
    }
    return Optional.of(new Conviction(request, crashes, timeOfDayMillis.getAsLong()));
  }

  /** Returns whether what a conviction refuses may be tried soon. */
  public boolean mayBeTried(Conviction conviction) {
    return conviction.trait().kind() == RequestTrait.Kind.REQUEST
        && trials.isOpen(conviction.trait());
  }

  /** Returns whether a replica may have ended under a request. */
  public boolean isSuspected(RequestTraits traits) {
    return counts.count(traits.request()) > 0;
  }

  /** Counts an attempt that is sent to a replica. */
  public void onSent(RequestTraits traits, long nowNanos) {
    shares.onSent(traits.parts(), nowNanos);
  }

  /**
   * Records that the connection of an attempt broke. Until {@link #onAlive}, the replica counts as
   * ended.
   *
   * @param brokenNanos when the connection broke
   */
  public void onBroken(ReplicaIncarnation replica, InFlight attempt, long brokenNanos) {
    RequestTrait request = attempt.traits().request();
    counts.add(request, replica.service(), replica.id(), brokenNanos, false);
  }

  /** Records that a replica is alive although connections to it broke. */
  public void onAlive(ReplicaIncarnation replica, List<InFlight> broken) {
    broken.forEach(attempt -> counts.onAlive(attempt.traits().request(), replica.id()));
  }

  /**
   * Records that a replica ended or may have ended, for reasons of which nothing is known.
   *
   * @param endedNanos when it ended
   * @param inFlight what this instance had in flight there
   */
  public void onEnded(ReplicaIncarnation replica, long endedNanos, List<InFlight> inFlight) {
    for (InFlight attempt : inFlight) {
      RequestTrait request = attempt.traits().request();
      if (counts.add(request, replica.service(), replica.id(), endedNanos, true)) {
        recorder.addRequestCrash(request, replica, endedNanos);
        listener.onRequestCrash(request, replica, counts.certainCount(request));
        convictIfCounted(request);
      }
    }
  }

  /**
   * Records that a replica crashed.
   *
   * @param crashedNanos when it crashed
   * @param inFlight what this instance had in flight there
   */
  public void onCrash(
      ReplicaIncarnation replica, long crashedNanos, List<InFlight> inFlight, long nowNanos) {
    onEnded(replica, crashedNanos, inFlight);
    List<InFlight> suspects = inFlight.stream().filter(attempt -> !attempt.survived()).toList();
    if (suspects.isEmpty()) {
      return;
    }
    CrashReport report = CrashReport.of(replica.id(), crashedNanos, suspects, shares, nowNanos);
    recorder.addCrash(report, crashedNanos);
    listener.onCrash(report);
    learn(report, nowNanos);
  }

  /** Records that a replica has gone on for a while with the answer to a request. */
  public void onSurvived(RequestTraits traits, long nowNanos) {
    for (RequestTrait part : traits.parts()) {
      if (evidence.isSuspected(part)) {
        recorder.addSound(part);
      }
      evidence.addSound(part, nowNanos);
      convictions.lift(part, EndReason.SOUND);
    }
  }

  /**
   * Records that a replica ran a request to a good end.
   *
   * @param service the service of the replica
   * @param sentNanos when the request was sent to it
   * @param trial whether it was the trial of the request
   */
  public void onCompleted(RequestTraits traits, String service, long sentNanos, boolean trial) {
    RequestTrait request = traits.request();
    boolean wasSuspected = counts.onCompleted(request, service, sentNanos);
    if (wasSuspected) {
      recorder.addCompletion(request, service, sentNanos);
    }
    if (wasSuspected || trial) {
      liftUnlessCounted(request);
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
      recorder.onSoundRecorded(sound.trait());
    }
    batch.crashes().forEach(report -> learn(report, nowNanos));
    for (RequestCrash crash : batch.requestCrashes()) {
      long atNanos = nowNanos - crash.ageMillis() * NANOS_PER_MILLI;
      counts.add(crash.request(), crash.service(), crash.replica(), atNanos, true);
      convictIfCounted(crash.request());
    }
    for (CompletedRequest completed : batch.completions()) {
      long sentNanos = nowNanos - completed.sentMillisAgo() * NANOS_PER_MILLI;
      if (counts.onCompleted(completed.request(), completed.service(), sentNanos)) {
        liftUnlessCounted(completed.request());
      }
    }
  }

  private void learn(CrashReport report, long nowNanos) {
    evidence.addCrash(report, nowNanos);
    undecided = true;
    evidenceAdded = true;
    for (Suspect suspect : report.suspects()) {
      if (evidence.lastSoundNanos(suspect.trait(), nowNanos).isPresent()) {
        recorder.addSound(suspect.trait());
      }
    }
  }

  private void convictIfCounted(RequestTrait request) {
    int crashes = counts.certainCount(request);
    if (crashes >= RequestCrashCounts.MAX_CRASHES && !convictions.contains(request)) {
      convictions.convict(request, crashes);
    }
  }

  private void liftUnlessCounted(RequestTrait request) {
    if (counts.count(request) < RequestCrashCounts.MAX_CRASHES) {
      convictions.lift(request, EndReason.SOUND);
    }
  }

  /** Stores all convictions again, because the store may have lost them. */
  public void onStoreReverted() {
    convictions.onStoreReverted();
    trials.onStoreReverted();
  }

  /** Applies a conviction that is stored. */
  public void onStored(Conviction conviction) {
    convictions.onStored(conviction);
  }

  /** Applies a claim of a trial that is stored, in the order of the store. */
  public void onTrialClaimed(RequestTrait request, String byClaimant) {
    trials.onClaimed(request, byClaimant);
  }

  /** Applies that the conviction of a trait is no longer stored. */
  public void onRemoved(RequestTrait trait) {
    forget(trait);
    convictions.onRemoved(trait);
  }

  /**
   * Applies all convictions that are stored. Those of this instance that it has yet to store stay.
   *
   * @param stored the convictions
   * @param claimedTrials the refused requests whose trials are claimed, and by whom
   */
  public void onListed(Collection<Conviction> stored, Map<RequestTrait, String> claimedTrials) {
    convictions.onListed(stored).forEach(this::onRemoved);
    trials.onListed(claimedTrials);
  }

  /** Decides and starts the calls that are due. To be called about 20 times a second. */
  public void tick(long nowNanos) {
    if (undecided && (evidenceAdded || nowNanos - lastDecisionNanos >= DECISION_INTERVAL_NANOS)) {
      decide(nowNanos);
    }
    convictions.tick(nowNanos);
    recorder.tick(nowNanos);
    trials.tick(nowNanos);
    restoreTrial(nowNanos);
  }

  private void decide(long nowNanos) {
    Optional<CrashEvidence.Culprit> culprit = findCulprit(nowNanos);
    while (culprit.isPresent()) {
      convictions.convict(culprit.get().trait(), culprit.get().crashes());
      culprit = findCulprit(nowNanos);
    }
    undecided = evidence.mayDecideLater(nowNanos);
    evidenceAdded = false;
    lastDecisionNanos = nowNanos;
  }

  private Optional<CrashEvidence.Culprit> findCulprit(long nowNanos) {
    return evidence.findCulprit(convictions::contains, counts.crashingByReplica(), nowNanos);
  }

  private void restoreTrial(long nowNanos) {
    Optional<RequestTrait> next = trials.nextUnstored();
    if (restoringTrial || next.isEmpty() || nowNanos - lastTrialFailureNanos < RETRY_DELAY_NANOS) {
      return;
    }
    restoringTrial = true;
    RequestTrait request = next.get();
    store.claimTrial(
        request, trials.claimantOf(request), done -> onTrialRestored(done, request, nowNanos));
  }

  private void onTrialRestored(boolean done, RequestTrait request, long startNanos) {
    restoringTrial = false;
    if (done) {
      trials.onStoredAgain(request);
    } else {
      lastTrialFailureNanos = startNanos;
      listener.onConvictionNotStored(1);
    }
  }

  private void forget(RequestTrait trait) {
    if (trait.kind() == RequestTrait.Kind.REQUEST) {
      counts.clear(trait);
      trials.clear(trait);
    } else {
      evidence.clear(trait);
    }
  }
}

package io.snipeloom.crashes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * Records in the store what one instance has seen of crashes, in batches. What could not be stored
 * is recorded again.
 *
 * <p>Not thread-safe.
 */
final class EvidenceRecorder {
  /** The most crashes of replicas that wait to be recorded; the oldest one makes room. */
  private static final int MAX_REPORTS = 64;

  /** The most crashes under single requests that wait; the oldest one makes room. */
  private static final int MAX_REQUEST_CRASHES = 4_096;

  /** The most of each kind in a batch, which bounds its size. */
  private static final int MAX_BATCH = 512;

  /** The most calls per second with which the whole fleet records that requests are sound. */
  private static final int MAX_FLEET_RECORDINGS_PER_SECOND = 100;

  /** The pause after a call to the store that failed. */
  private static final long RETRY_DELAY_NANOS = 500_000_000L;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ConvictionStore store;
  private final IntSupplier fleetSize;
  private final CrashControl.Listener listener;
  private final CrashEvidence evidence;
  private final Deque<Seen> reports = new ArrayDeque<>();
  private final Deque<SeenRequestCrash> requestCrashes = new ArrayDeque<>();
  private final Map<RequestTrait, Completion> completions = new LinkedHashMap<>();
  private final Set<RequestTrait> sound = new LinkedHashSet<>();
  private boolean recording;
  private long lastFailureNanos = Long.MIN_VALUE / 2;
  private long lastSoundRecordingNanos = Long.MIN_VALUE / 2;

  private record Seen(CrashReport report, long crashedNanos) {}

  private record SeenRequestCrash(RequestTrait request, ReplicaIncarnation replica, long atNanos) {}

  private record Completion(String service, long sentNanos) {}

  /** What is in a batch that is being stored. */
  private record Batch(
      List<Seen> reports,
      List<SeenRequestCrash> requestCrashes,
      Map<RequestTrait, Completion> completions,
      List<RequestTrait> sound) {}

  /**
   * Creates a recorder with nothing to record.
   *
   * @param fleetSize the number of instances, at least 1
   * @param listener is told of failed calls
   * @param evidence knows when a replica last survived a part
   */
  EvidenceRecorder(
      ConvictionStore store,
      IntSupplier fleetSize,
      CrashControl.Listener listener,
      CrashEvidence evidence) {
    this.store = store;
    this.fleetSize = fleetSize;
    this.listener = listener;
    this.evidence = evidence;
  }

  /** Adds that a replica crashed. */
  void addCrash(CrashReport report, long crashedNanos) {
    reports.addLast(new Seen(report, crashedNanos));
    while (reports.size() > MAX_REPORTS) {
      reports.removeFirst();
    }
  }

  /** Adds that a replica ended under a request. */
  void addRequestCrash(RequestTrait request, ReplicaIncarnation replica, long atNanos) {
    requestCrashes.addLast(new SeenRequestCrash(request, replica, atNanos));
    while (requestCrashes.size() > MAX_REQUEST_CRASHES) {
      requestCrashes.removeFirst();
    }
  }

  /** Adds that a replica ran a request to a good end. */
  void addCompletion(RequestTrait request, String service, long sentNanos) {
    completions.put(request, new Completion(service, sentNanos));
  }

  /** Adds that a replica survived a part, of which the others are to be told. */
  void addSound(RequestTrait part) {
    sound.add(part);
  }

  /** Leaves out that a replica survived a part, because another instance has recorded it. */
  void onSoundRecorded(RequestTrait part) {
    sound.remove(part);
  }

  /** Starts the call that is due. */
  void tick(long nowNanos) {
    if (recording || nowNanos - lastFailureNanos < RETRY_DELAY_NANOS) {
      return;
    }
    boolean soundDue =
        !(sound.isEmpty() && completions.isEmpty())
            && nowNanos - lastSoundRecordingNanos >= soundRecordingIntervalNanos();
    if (reports.isEmpty() && requestCrashes.isEmpty() && !soundDue) {
      return;
    }
    recording = true;
    lastSoundRecordingNanos = nowNanos;
    Batch batch = takeBatch();
    store.append(encode(batch, nowNanos), done -> onRecorded(done, batch, nowNanos));
  }

  private Batch takeBatch() {
    Map<RequestTrait, Completion> completed = new LinkedHashMap<>();
    completions.entrySet().stream()
        .limit(MAX_BATCH)
        .forEach(entry -> completed.put(entry.getKey(), entry.getValue()));
    completions.keySet().removeAll(completed.keySet());
    List<RequestTrait> survived = sound.stream().limit(MAX_BATCH).toList();
    sound.removeAll(survived);
    return new Batch(
        List.copyOf(reports),
        requestCrashes.stream().limit(MAX_BATCH).toList(),
        completed,
        survived);
  }

  private EvidenceBatch encode(Batch batch, long nowNanos) {
    List<SoundTrait> survived = new ArrayList<>();
    for (RequestTrait part : batch.sound()) {
      evidence
          .lastSoundNanos(part, nowNanos)
          .ifPresent(at -> survived.add(new SoundTrait(part, millisSince(at, nowNanos))));
    }
    List<CompletedRequest> completed = new ArrayList<>();
    batch
        .completions()
        .forEach(
            (request, completion) ->
                completed.add(
                    new CompletedRequest(
                        request,
                        completion.service(),
                        millisSince(completion.sentNanos(), nowNanos))));
    return new EvidenceBatch(
        batch.reports().stream()
            .map(seen -> seen.report().withAgeMillis(millisSince(seen.crashedNanos(), nowNanos)))
            .toList(),
        survived,
        batch.requestCrashes().stream()
            .map(
                seen ->
                    new RequestCrash(
                        seen.request(),
                        seen.replica().service(),
                        seen.replica().id(),
                        millisSince(seen.atNanos(), nowNanos)))
            .toList(),
        completed);
  }

  private static long millisSince(long thenNanos, long nowNanos) {
    return Math.max(0, (nowNanos - thenNanos) / NANOS_PER_MILLI);
  }

  private void onRecorded(boolean done, Batch batch, long startNanos) {
    recording = false;
    if (done) {
      reports.removeAll(batch.reports());
      removeFirst(batch.requestCrashes());
      return;
    }
    batch.completions().forEach(completions::putIfAbsent);
    sound.addAll(batch.sound());
    lastFailureNanos = startNanos;
    listener.onEvidenceNotStored(reports.size() + requestCrashes.size());
  }

  /** Removes recorded crashes, the oldest ones, of which some may have made room meanwhile. */
  private void removeFirst(List<SeenRequestCrash> recorded) {
    for (SeenRequestCrash one : recorded) {
      if (one.equals(requestCrashes.peekFirst())) {
        requestCrashes.removeFirst();
      }
    }
  }

  private long soundRecordingIntervalNanos() {
    return fleetSize.getAsInt() * NANOS_PER_SECOND / MAX_FLEET_RECORDINGS_PER_SECOND;
  }
}

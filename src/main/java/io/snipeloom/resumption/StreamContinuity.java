package io.snipeloom.resumption;

import io.snipeloom.routing.Replica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Finds out what began a stream that a caller resumes, at this instance or another one.
 *
 * <p>While streams may be of several services or software versions, each instance records the
 * origins of its streams in the store, and an instance that does not know a stream reads them.
 * Otherwise the only possible origin is the answer, provided that the registry of replicas was read
 * recently. An origin that cannot be told is reported as unknown, never guessed.
 *
 * <p>Confined to the event loop thread.
 */
public final class StreamContinuity {
  /** The most calls per second with which the whole fleet records origins. */
  private static final int MAX_FLEET_RECORDINGS_PER_SECOND = 100;

  /** The shortest time between two recordings of one instance. */
  private static final long MIN_RECORDING_INTERVAL_NANOS = 100_000_000L;

  private static final int MAX_RECORDS_PER_CALL = 500;

  /** The age up to which the known replicas count as all replicas of a service. */
  private static final long MAX_REGISTRY_AGE_NANOS = 2_000_000_000L;

  /**
   * How long a caller waits for the origin of its stream; longer than the instance that passed the
   * first event on takes to record it.
   */
  private static final long LOOKUP_TIMEOUT_NANOS = 300_000_000L;

  /** The pause after a read at the start that failed. */
  private static final long RETRY_DELAY_NANOS = 500_000_000L;

  /** The time between two looks at all replicas, of which most do not change. */
  private static final long OBSERVATION_INTERVAL_NANOS = 1_000_000_000L;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final OriginStore store;
  private final LongSupplier timeOfDayMillis;
  private final IntSupplier fleetSize;
  private final Listener listener;
  private final OriginMemory memory = new OriginMemory();
  private final VersionHistory history = new VersionHistory();
  private Set<String> routedServices = Set.of();
  private List<Waiter> waiters = new ArrayList<>();
  private boolean historyLoaded;
  private boolean reading;
  private boolean recording;
  private long recordedStreams;
  private long lastRecordingNanos = Long.MIN_VALUE / 2;
  private long lastObservationNanos = Long.MIN_VALUE / 2;
  private long lastReadNanos = Long.MIN_VALUE / 2;
  private long registryReadNanos = Long.MIN_VALUE / 2;

  /** A caller that waits for the origin of its stream. */
  private record Waiter(String attempt, long sinceNanos, Consumer<OriginLookup> listener) {}

  /** Receives what happens to the recorded origins. */
  public interface Listener {

    /**
     * Called when origins were recorded.
     *
     * @param total the number of streams that this incarnation has recorded
     */
    void onRecorded(long total);

    /** Called when origins could not be recorded; they will be tried again. */
    void onRecordingFailed(int streams);

    /** Called when the recorded origins could not be read. */
    void onReadFailed();
  }

  /**
   * Creates an instance that has read nothing yet.
   *
   * @param store stores the origins
   * @param timeOfDayMillis the time of day, in Unix milliseconds
   * @param fleetSize the number of instances that record origins, at least 1
   * @param listener receives what happens to the recorded origins
   */
  public StreamContinuity(
      OriginStore store, LongSupplier timeOfDayMillis, IntSupplier fleetSize, Listener listener) {
    this.store = store;
    this.timeOfDayMillis = timeOfDayMillis;
    this.fleetSize = fleetSize;
    this.listener = listener;
  }

  /** Records the entry of a replica, as soon as it is read. */
  public void onReplica(Replica replica, long nowNanos) {
    history.observeVersion(StreamOrigin.of(replica), nowNanos);
  }

  /** Replaces the services to which the routes of streams lead that callers can resume. */
  public void onRoutes(Set<String> services, long nowNanos) {
    routedServices = Set.copyOf(services);
    services.forEach(service -> history.observeRoute(service, nowNanos));
  }

  /** Records that the registry of replicas was read up to its end. */
  public void onRegistryRead(long nowNanos) {
    registryReadNanos = nowNanos;
  }

  /**
   * Adds a stream whose first event is about to be passed on.
   *
   * @param attempt the caller's attempt that receives it
   * @param origin what produced it
   */
  public void onBegun(String attempt, StreamOrigin origin, long nowNanos) {
    memory.putUnrecorded(attempt, origin, nowNanos);
  }

  /**
   * Looks for the origin of a stream.
   *
   * @param attempt the caller's attempt that received its first event
   * @param receiver receives the result, once, at the latest after the time limit of a lookup
   */
  public void find(String attempt, long nowNanos, Consumer<OriginLookup> receiver) {
    Optional<OriginLookup> known = findLocally(attempt, nowNanos);
    if (known.isPresent()) {
      receiver.accept(known.get());
      return;
    }
    waiters.add(new Waiter(attempt, nowNanos, receiver));
    readNew(nowNanos);
  }

  /**
   * Looks for the origin of a stream whose caller does not state the attempt that began it.
   *
   * @param service the service to which the request would go
   * @return the only version of that service, unknown if it had several recently
   */
  public OriginLookup findUnstated(String service, long nowNanos) {
    List<StreamOrigin> possible =
        history.possibleOrigins(nowNanos).stream()
            .filter(origin -> origin.service().equals(service))
            .toList();
    return onlyOne(possible).orElse(OriginLookup.unknown());
  }

  private Optional<OriginLookup> findLocally(String attempt, long nowNanos) {
    Optional<StreamOrigin> remembered = memory.find(attempt);
    if (remembered.isPresent()) {
      return remembered.map(found -> OriginLookup.found(found, OriginLookup.Source.MEMORY));
    }
    boolean registryKnown = nowNanos - registryReadNanos <= MAX_REGISTRY_AGE_NANOS;
    if (!historyLoaded || !registryKnown) {
      return Optional.empty();
    }
    return onlyOne(history.possibleOrigins(nowNanos));
  }

  private static Optional<OriginLookup> onlyOne(List<StreamOrigin> possible) {
    return possible.size() == 1
        ? Optional.of(OriginLookup.found(possible.get(0), OriginLookup.Source.ONLY_POSSIBLE))
        : Optional.empty();
  }

  /**
   * Starts the calls that are due and ends lookups that take too long. To be called about 20 times
   * a second.
   *
   * @param replicas all registered replicas
   */
  public void tick(Collection<Replica> replicas, long nowNanos) {
    if (nowNanos - lastObservationNanos >= OBSERVATION_INTERVAL_NANOS) {
      lastObservationNanos = nowNanos;
      history.observeReplicas(replicas, nowNanos);
      routedServices.forEach(service -> history.observeRoute(service, nowNanos));
      history.expire(nowNanos);
    }
    memory.expire(nowNanos);
    giveUpLateLookups(nowNanos);
    boolean loadDue = !historyLoaded && nowNanos - lastReadNanos >= RETRY_DELAY_NANOS;
    if (loadDue || !waiters.isEmpty()) {
      readNew(nowNanos);
    }
    if (!recording && nowNanos - lastRecordingNanos >= recordingIntervalNanos()) {
      record(nowNanos);
    }
  }

  private long recordingIntervalNanos() {
    long fairShare = fleetSize.getAsInt() * NANOS_PER_SECOND / MAX_FLEET_RECORDINGS_PER_SECOND;
    return Math.max(MIN_RECORDING_INTERVAL_NANOS, fairShare);
  }

  private void record(long nowNanos) {
    lastRecordingNanos = nowNanos;
    List<OriginRecord> records = memory.unrecorded(MAX_RECORDS_PER_CALL);
    if (records.isEmpty() || history.possibleOrigins(nowNanos).size() <= 1) {
      return;
    }
    recording = true;
    store.append(
        new OriginBatch(timeOfDayMillis.getAsLong(), records),
        stored -> onAppended(records, stored));
  }

  private void onAppended(List<OriginRecord> records, boolean stored) {
    recording = false;
    if (!stored) {
      listener.onRecordingFailed(records.size());
      return;
    }
    memory.markRecorded(records);
    recordedStreams += records.size();
    listener.onRecorded(recordedStreams);
  }

  private void readNew(long nowNanos) {
    if (reading) {
      return;
    }
    reading = true;
    lastReadNanos = nowNanos;
    store.readNew(
        new OriginStore.ReadListener() {
          @Override
          public void onRead(List<OriginBatch> batches) {
            reading = false;
            historyLoaded = true;
            batches.forEach(batch -> learn(batch, nowNanos));
            answerWaiters(nowNanos);
          }

          @Override
          public void onFailed() {
            reading = false;
            listener.onReadFailed();
            refuseWaiters();
          }
        });
  }

  private void learn(OriginBatch batch, long nowNanos) {
    long ageMillis = Math.max(0, timeOfDayMillis.getAsLong() - batch.recordedAtMillis());
    for (OriginRecord record : batch.records()) {
      memory.putRecorded(record, nowNanos);
      long seenNanos = nowNanos - ageMillis * NANOS_PER_MILLI;
      history.observeVersion(record.origin(), seenNanos);
      history.observeRoute(record.origin().service(), seenNanos);
    }
  }

  /** Answers those whose origin is known now; the next tick reads again for the others. */
  private void answerWaiters(long nowNanos) {
    List<Waiter> open = waiters;
    waiters = new ArrayList<>();
    for (Waiter waiter : open) {
      Optional<OriginLookup> found = resolve(waiter, nowNanos);
      if (found.isPresent()) {
        waiter.listener().accept(found.get());
      } else {
        waiters.add(waiter);
      }
    }
  }

  private Optional<OriginLookup> resolve(Waiter waiter, long nowNanos) {
    Optional<OriginLookup> recorded =
        memory
            .find(waiter.attempt())
            .map(found -> OriginLookup.found(found, OriginLookup.Source.STORE));
    return recorded.or(() -> findLocally(waiter.attempt(), nowNanos));
  }

  private void refuseWaiters() {
    List<Waiter> refused = waiters;
    waiters = new ArrayList<>();
    refused.forEach(waiter -> waiter.listener().accept(OriginLookup.unknown()));
  }

  private void giveUpLateLookups(long nowNanos) {
    List<Waiter> late =
        waiters.stream()
            .filter(waiter -> nowNanos - waiter.sinceNanos() > LOOKUP_TIMEOUT_NANOS)
            .toList();
    waiters.removeAll(late);
    late.forEach(waiter -> waiter.listener().accept(OriginLookup.unknown()));
  }
}

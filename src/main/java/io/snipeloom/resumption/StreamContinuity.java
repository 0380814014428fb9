package io.snipeloom.resumption;

import io.snipeloom.routing.Replica;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Finds out what began a stream that a caller resumes, at this instance or another one.
 *
 * <p>Before streams begin at a service and software version, each instance declares them in the
 * store. Once there were several, it records the origins of its streams there, and an instance that
 * does not know a stream reads them and asks the others. An origin that cannot be told is reported
 * as unknown, never guessed.
 *
 * <p>Confined to the event loop thread.
 */
public final class StreamContinuity {
  /** The most calls per second with which the whole fleet records origins. */
  private static final int MAX_FLEET_RECORDINGS_PER_SECOND = 100;

  /** The shortest time between two recordings of one instance. */
  private static final long MIN_RECORDING_INTERVAL_NANOS = 100_000_000L;

  private static final int MAX_RECORDS_PER_CALL = 500;

  /** The pause after a declaration that failed. */
  private static final long REDECLARE_DELAY_NANOS = 250_000_000L;

  /**
   * How long an instance has run when it removes the declarations of its earlier incarnations:
   * streams that these began are not resumed any more.
   */
  private static final long RETIREMENT_NANOS = 2 * VersionHistory.RETENTION_NANOS;

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
  private final OriginDeclarations declarations = new OriginDeclarations();
  private final OriginSearch search;
  private final String instance;
  private final String incarnation;
  private final Deque<DeclaredOrigin> predecessors = new ArrayDeque<>();
  private boolean started;
  private long startNanos;
  private Set<String> routedServices = Set.of();
  private boolean recording;
  private boolean declaring;
  private long recordedStreams;
  private long lastRecordingNanos = Long.MIN_VALUE / 2;
  private long lastObservationNanos = Long.MIN_VALUE / 2;
  private long declarationFailedNanos = Long.MIN_VALUE / 2;

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

    /**
     * Called when streams may begin at an origin, or still may not.
     *
     * @param declared whether the store holds a declaration of the origin; if false, it will be
     *     tried again
     */
    void onDeclaration(StreamOrigin origin, boolean declared);

    /**
     * Called when a declaration of an earlier incarnation of this instance was removed.
     *
     * @param removed whether the store has removed it; if false, it stays until the next search
     */
    void onRetired(DeclaredOrigin declared, boolean removed);
  }

  /**
   * Creates an instance that has read nothing yet.
   *
   * @param store stores the origins
   * @param peers asks the other instances
   * @param instance the name of this instance
   * @param incarnation a unique identifier of this start of the instance
   * @param timeOfDayMillis the time of day, in Unix milliseconds
   * @param fleetSize the number of instances that record origins, at least 1
   * @param listener receives what happens to the recorded origins
   */
  public StreamContinuity(
      OriginStore store,
      OriginPeers peers,
      String instance,
      String incarnation,
      LongSupplier timeOfDayMillis,
      IntSupplier fleetSize,
      Listener listener) {
    this.store = store;
    this.instance = instance;
    this.incarnation = incarnation;
    this.timeOfDayMillis = timeOfDayMillis;
    this.fleetSize = fleetSize;
    this.listener = listener;
    this.search =
        new OriginSearch(store, peers, incarnation, memory, history, new SearchListener());
  }

  /** Records the entry of a replica, as soon as it is read. */
  public void onReplica(Replica replica, long nowNanos) {
    observe(replica, nowNanos);
    declare(nowNanos);
  }

  /** Replaces the services to which the routes of streams lead that callers can resume. */
  public void onRoutes(Set<String> services, long nowNanos) {
    routedServices = Set.copyOf(services);
    services.forEach(service -> history.observeRoute(service, nowNanos));
    history.possibleOrigins(nowNanos).stream()
        .filter(origin -> services.contains(origin.service()))
        .forEach(origin -> declarations.observe(origin, nowNanos));
    declare(nowNanos);
  }

  private void observe(Replica replica, long nowNanos) {
    StreamOrigin origin = StreamOrigin.of(replica);
    history.observeVersion(origin, nowNanos);
    if (routedServices.contains(origin.service())) {
      declarations.observe(origin, nowNanos);
    }
  }

  /**
   * Returns whether a stream that callers can resume may begin at a replica. Until its version is
   * declared, other instances may take another version for the origin of the stream.
   */
  public boolean mayBegin(Replica replica, long nowNanos) {
    return declarations.contains(StreamOrigin.of(replica), nowNanos);
  }

  /** Returns whether nothing has to be recorded that another instance may have to read. */
  public boolean isRecorded() {
    return !mayBeUnclear() || memory.unrecorded(1).isEmpty();
  }

  /** Returns whether the versions of all known replicas are declared. */
  public boolean isDeclared() {
    return declarations.dueCount() == 0;
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
   * Returns what this instance knows of streams, for another one that looks for their origins.
   *
   * @param attempts the attempts that began the streams
   */
  public PeerAnswer answer(List<String> attempts, long nowNanos) {
    List<OriginRecord> known = new ArrayList<>();
    for (String attempt : attempts) {
      memory.find(attempt).ifPresent(origin -> known.add(new OriginRecord(attempt, origin)));
    }
    return new PeerAnswer(incarnation, memory.isComplete(nowNanos), known);
  }

  /**
   * Looks for the origin of a stream.
   *
   * @param attempt the caller's attempt that received its first event
   * @param receiver receives the result, once, at the latest after the time limit of a search
   */
  public void find(String attempt, long nowNanos, Consumer<OriginLookup> receiver) {
    search.find(attempt, nowNanos, receiver);
  }

  /**
   * Looks for the origin of a stream whose caller does not state the attempt that began it.
   *
   * @param service the service to which the request would go
   * @param receiver receives the only version of that service, unknown if it had several recently,
   *     once, at the latest after the time limit of a search
   */
  public void findUnstated(String service, long nowNanos, Consumer<OriginLookup> receiver) {
    search.findOnly(service, nowNanos, receiver);
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
      replicas.forEach(replica -> observe(replica, nowNanos));
      routedServices.forEach(service -> history.observeRoute(service, nowNanos));
      history.expire(nowNanos);
    }
    memory.expire(nowNanos);
    search.tick(nowNanos);
    declare(nowNanos);
    retirePredecessors(nowNanos);
    if (!recording && nowNanos - lastRecordingNanos >= recordingIntervalNanos()) {
      record(nowNanos);
    }
  }

  private void retirePredecessors(long nowNanos) {
    if (!started) {
      started = true;
      startNanos = nowNanos;
    }
    if (!predecessors.isEmpty() && nowNanos - startNanos > RETIREMENT_NANOS) {
      DeclaredOrigin oldest = predecessors.poll();
      store.retire(oldest, removed -> listener.onRetired(oldest, removed));
    }
  }

  private void declare(long nowNanos) {
    Optional<StreamOrigin> due = declarations.nextDue();
    if (declaring || due.isEmpty() || nowNanos - declarationFailedNanos < REDECLARE_DELAY_NANOS) {
      return;
    }
    declaring = true;
    store.declare(due.get(), stored -> onDeclared(due.get(), stored, nowNanos));
  }

  private void onDeclared(StreamOrigin origin, boolean stored, long sentNanos) {
    declaring = false;
    listener.onDeclaration(origin, stored);
    if (stored) {
      declarations.onDeclared(origin);
      declare(sentNanos);
    } else {
      declarationFailedNanos = sentNanos;
    }
  }

  private long recordingIntervalNanos() {
    long fairShare = fleetSize.getAsInt() * NANOS_PER_SECOND / MAX_FLEET_RECORDINGS_PER_SECOND;
    return Math.max(MIN_RECORDING_INTERVAL_NANOS, fairShare);
  }

  private void record(long nowNanos) {
    lastRecordingNanos = nowNanos;
    List<OriginRecord> records = memory.unrecorded(MAX_RECORDS_PER_CALL);
    if (records.isEmpty() || !mayBeUnclear()) {
      return;
    }
    recording = true;
    store.append(
        new OriginBatch(timeOfDayMillis.getAsLong(), records),
        stored -> onAppended(records, stored));
  }

  /**
   * Returns whether an instance that starts may not know which of several origins began a stream:
   * the store keeps the declarations of versions that are gone.
   */
  private boolean mayBeUnclear() {
    return declarations.hasSeveral(history.declared());
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

  /** Applies what a search reads. */
  private final class SearchListener implements OriginSearch.Listener {
    @Override
    public void onDeclared(List<DeclaredOrigin> declared) {
      predecessors.clear();
      declared.stream()
          .filter(one -> one.instance().equals(instance) && !one.incarnation().equals(incarnation))
          .forEach(predecessors::add);
    }

    @Override
    public void onBatch(OriginBatch batch, long nowNanos) {
      long ageMillis = Math.max(0, timeOfDayMillis.getAsLong() - batch.recordedAtMillis());
      for (OriginRecord record : batch.records()) {
        memory.putRecorded(record, nowNanos);
        long seenNanos = nowNanos - ageMillis * NANOS_PER_MILLI;
        history.observeVersion(record.origin(), seenNanos);
        history.observeRoute(record.origin().service(), seenNanos);
      }
    }

    @Override
    public void onReverted(long nowNanos) {
      declarations.redeclareAll(nowNanos);
    }

    @Override
    public void onReadFailed() {
      listener.onReadFailed();
    }
  }
}

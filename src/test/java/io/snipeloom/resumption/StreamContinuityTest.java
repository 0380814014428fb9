package io.snipeloom.resumption;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.snipeloom.resumption.OriginLookup.Source;
import io.snipeloom.routing.Replica;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaState;
import io.snipeloom.routing.SoftwareVersion;
import io.snipeloom.state.SnipeloomException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests two instances that share a store, at times that the tests choose. */
class StreamContinuityTest {
  private static final long TICK_NANOS = 50_000_000L;
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final StreamOrigin FIRST = origin("v1");
  private static final StreamOrigin SECOND = origin("v2");

  private final SharedStore store = new SharedStore();
  private final List<StreamContinuity> instances = new ArrayList<>();
  private final StreamContinuity first = start(2);
  private final StreamContinuity second = start(2);
  private List<Replica> replicas = replicas("v1", "v2");
  private long nowNanos = 5 * SECOND_NANOS;

  @Test
  void originIsKnownWhereTheStreamBegan() {
    run(TICK_NANOS);
    first.onBegun("a", FIRST, nowNanos);
    assertThat(find(first, "a"), is(List.of(OriginLookup.found(FIRST, Source.MEMORY))));
  }

  @Test
  void originReachesOtherInstancesWhileVersionsDiffer() {
    run(TICK_NANOS);
    first.onBegun("a", SECOND, nowNanos);
    run(SECOND_NANOS);
    List<OriginLookup> found = find(second, "a");
    assertThat(found, contains(OriginLookup.found(SECOND, Source.STORE)));
  }

  /** Guards against a refusal of a stream that is resumed before its origin is recorded. */
  @Test
  void lookupWaitsForAnOriginThatIsBeingRecorded() {
    run(SECOND_NANOS);
    first.onBegun("a", SECOND, nowNanos);
    List<OriginLookup> found = find(second, "a");
    assertThat(found, is(empty()));
    run(4 * TICK_NANOS);
    assertThat(found, contains(OriginLookup.found(SECOND, Source.STORE)));
  }

  @Test
  void originThatNobodyRecordedIsUnknownAfterTheTimeLimit() {
    run(SECOND_NANOS);
    List<OriginLookup> found = find(second, "a");
    run(8 * TICK_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  @Test
  void onlyVersionIsTheOriginAndNothingIsRecorded() {
    replicas = replicas("v1", "v1");
    run(TICK_NANOS);
    first.onBegun("a", FIRST, nowNanos);
    run(SECOND_NANOS);
    assertThat(find(second, "a"), contains(OriginLookup.found(FIRST, Source.ONLY_POSSIBLE)));
    assertThat(store.batches, is(empty()));
  }

  /** Guards against streams that began before their service got its second version. */
  @Test
  void streamsThatBeganUnderOneVersionAreRecordedOnceAnotherAppears() {
    replicas = replicas("v1");
    run(TICK_NANOS);
    first.onBegun("a", FIRST, nowNanos);
    run(SECOND_NANOS);
    replicas = replicas("v1", "v2");
    run(SECOND_NANOS);
    assertThat(find(second, "a"), contains(OriginLookup.found(FIRST, Source.STORE)));
  }

  /** Guards against the last version being taken for the one that began a stream. */
  @Test
  void versionThatHasGoneIsRememberedAlsoByAnInstanceThatNeverSawIt() {
    run(TICK_NANOS);
    first.onBegun("a", FIRST, nowNanos);
    run(SECOND_NANOS);
    replicas = replicas("v2");
    run(SECOND_NANOS);
    StreamContinuity restarted = start(2);
    run(SECOND_NANOS);
    assertThat(find(restarted, "a"), contains(OriginLookup.found(FIRST, Source.MEMORY)));
    List<OriginLookup> other = find(restarted, "other");
    run(SECOND_NANOS);
    assertThat(other, contains(OriginLookup.unknown()));
  }

  @Test
  void versionThatWentLongAgoNoLongerCounts() {
    run(TICK_NANOS);
    replicas = replicas("v2");
    run(61 * SECOND_NANOS);
    assertThat(find(second, "a"), contains(OriginLookup.found(SECOND, Source.ONLY_POSSIBLE)));
  }

  /** Guards against an instance that cannot see a new version and guesses the old one. */
  @Test
  void originIsUnknownAtOnceWhileNeitherRegistryNorStoreCanBeRead() {
    replicas = replicas("v1");
    run(SECOND_NANOS);
    store.down = true;
    run(3 * SECOND_NANOS);
    assertThat(find(second, "a"), contains(OriginLookup.unknown()));
  }

  /** Guards against a stream that goes on at v1 since its version, v2, was not read yet. */
  @Test
  void versionThatBeganTheStreamJustNowIsNotTakenForAnother() {
    replicas = replicas("v1");
    run(SECOND_NANOS);
    first.onReplica(replica("llm", "e-9", "v2"), nowNanos);
    first.onBegun("a", SECOND, nowNanos);
    List<OriginLookup> found = find(second, "a");
    assertThat(found, is(empty()));
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.found(SECOND, Source.STORE)));
  }

  /** Guards against a guess by an instance that starts after a version has come and gone. */
  @Test
  void versionThatCameAndWentUnseenIsNotTakenForAnother() {
    run(TICK_NANOS);
    replicas = replicas("v1");
    run(SECOND_NANOS);
    StreamContinuity started = start(2);
    run(SECOND_NANOS);
    List<OriginLookup> found = find(started, "unrecorded");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against a stream that begins at a version of which the others cannot know. */
  @Test
  void streamDoesNotBeginAtVersionThatIsNotDeclared() {
    replicas = replicas("v1");
    run(SECOND_NANOS);
    store.down = true;
    Replica fresh = replica("llm", "e-9", "v2");
    first.onReplica(fresh, nowNanos);
    assertThat(first.mayBegin(replicas.get(0), nowNanos), is(true));
    assertThat(first.mayBegin(fresh, nowNanos), is(false));
    store.down = false;
    run(SECOND_NANOS);
    assertThat(first.mayBegin(fresh, nowNanos), is(true));
  }

  /**
   * Guards against streams that nobody can resume when all instances start long after a release.
   */
  @Test
  void streamIsResumedAtAnInstanceThatStartsLongAfterTheLastRelease() {
    run(TICK_NANOS);
    replicas = replicas("v2");
    run(120 * SECOND_NANOS);
    first.onBegun("a", SECOND, nowNanos);
    run(SECOND_NANOS);
    StreamContinuity started = start(2);
    List<OriginLookup> found = find(started, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.found(SECOND, Source.STORE)));
  }

  /** Guards against a version that others no longer count, and that begins streams again. */
  @Test
  void versionThatIsBackAfterLongAbsenceIsDeclaredAnew() {
    run(TICK_NANOS);
    replicas = replicas("v1");
    run(61 * SECOND_NANOS);
    Replica back = replica("llm", "e-9", "v2");
    store.down = true;
    first.onReplica(back, nowNanos);
    assertThat(first.mayBegin(back, nowNanos), is(false));
    store.down = false;
    run(SECOND_NANOS);
    first.onBegun("a", SECOND, nowNanos);
    assertThat(find(second, "other"), is(empty()));
  }

  /** Guards against a guess while a store that lost declarations has yet to be told them again. */
  @Test
  void onlyVersionIsNotTakenForTheOriginRightAfterTheStoreReverted() {
    replicas = replicas("v1");
    run(SECOND_NANOS);
    first.onReplica(replica("llm", "e-9", "v2"), nowNanos);
    first.onBegun("a", SECOND, nowNanos);
    store.revert();
    List<OriginLookup> found = find(second, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.found(SECOND, Source.STORE)));
    List<OriginLookup> unknown = find(second, "unknown");
    run(SECOND_NANOS);
    assertThat(unknown, contains(OriginLookup.unknown()));
  }

  /** Guards against a guess from a declaration that this version of the software cannot read. */
  @Test
  void onlyVersionIsNotTakenForTheOriginIfOneDeclarationCannotBeRead() {
    replicas = replicas("v1");
    run(SECOND_NANOS);
    store.unreadable = true;
    List<OriginLookup> found = find(second, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  @Test
  void recordingThatFailedIsRepeated() {
    run(TICK_NANOS);
    store.down = true;
    first.onBegun("a", FIRST, nowNanos);
    run(SECOND_NANOS);
    store.down = false;
    run(SECOND_NANOS);
    assertThat(find(second, "a"), contains(OriginLookup.found(FIRST, Source.STORE)));
  }

  @Test
  void streamWithoutStatedAttemptGoesOnOnlyWhileItsServiceHasOneVersion() {
    replicas = replicas("v1");
    replicas.add(replica("other", "o-1", "v1"));
    instances.forEach(instance -> instance.onRoutes(Set.of("llm", "other"), nowNanos));
    run(SECOND_NANOS);
    OriginLookup only = OriginLookup.found(FIRST, Source.ONLY_POSSIBLE);
    List<OriginLookup> found = new ArrayList<>();
    second.findUnstated("llm", nowNanos, found::add);
    assertThat(found, contains(only));
    replicas = replicas("v1", "v2");
    run(SECOND_NANOS);
    found.clear();
    second.findUnstated("llm", nowNanos, found::add);
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against a stream that goes on at the service to which its route leads now. */
  @Test
  void streamThatBeganAtAnotherServiceIsRecordedOnceRoutesChange() {
    replicas = replicas("v1");
    replicas.add(replica("other", "o-1", "v1"));
    run(SECOND_NANOS);
    first.onBegun("a", FIRST, nowNanos);
    instances.forEach(instance -> instance.onRoutes(Set.of("other"), nowNanos));
    run(SECOND_NANOS);
    assertThat(find(second, "a"), contains(OriginLookup.found(FIRST, Source.STORE)));
  }

  @Test
  void serviceThatNoRouteOfStreamsLeadsToDoesNotCount() {
    replicas = replicas("v1");
    replicas.add(replica("other", "o-1", "v1"));
    run(SECOND_NANOS);
    assertThat(find(second, "a"), contains(OriginLookup.found(FIRST, Source.ONLY_POSSIBLE)));
  }

  @Test
  void largeFleetRecordsAtBoundedRate() {
    StreamContinuity member = start(500);
    run(TICK_NANOS);
    int before = store.batches.size();
    for (int i = 0; i < 200; i++) {
      member.onBegun("a" + i, FIRST, nowNanos);
      run(TICK_NANOS);
    }
    assertThat(store.batches.size() - before, is(lessThanOrEqualTo(3)));
  }

  @Test
  void batchIsDecodedAsItWasEncoded() {
    OriginBatch batch = new OriginBatch(7, List.of(new OriginRecord("a", FIRST)));
    assertThat(OriginBatch.parse(batch.toBytes()), is(batch));
    DeclaredOrigin declared = new DeclaredOrigin(FIRST, "once");
    assertThat(DeclaredOrigin.parse(declared.toBytes()), is(declared));
    assertThrows(SnipeloomException.class, () -> DeclaredOrigin.parse(new byte[] {1, 2}));
    assertThrows(SnipeloomException.class, () -> OriginBatch.parse(new byte[] {1, 2}));
  }

  @Test
  void memoryIsBoundedInAge() {
    OriginMemory memory = new OriginMemory();
    memory.putUnrecorded("a", FIRST, 0);
    memory.expire(OriginMemory.RETENTION_NANOS + 1);
    assertThat(memory.find("a"), is(Optional.empty()));
    assertThat(memory.unrecorded(10), hasSize(0));
  }

  private StreamContinuity start(int fleetSize) {
    StreamContinuity instance =
        new StreamContinuity(
            store.reader(), () -> nowNanos / 1_000_000, () -> fleetSize, new NoListener());
    instance.onRoutes(Set.of("llm"), nowNanos);
    instances.add(instance);
    return instance;
  }

  private void run(long nanos) {
    for (long end = nowNanos + nanos; nowNanos < end; nowNanos += TICK_NANOS) {
      for (StreamContinuity instance : instances) {
        replicas.forEach(replica -> instance.onReplica(replica, nowNanos));
        instance.tick(replicas, nowNanos);
      }
    }
  }

  private List<OriginLookup> find(StreamContinuity instance, String attempt) {
    List<OriginLookup> found = new ArrayList<>();
    instance.find(attempt, nowNanos, found::add);
    return found;
  }

  private static StreamOrigin origin(String version) {
    return new StreamOrigin("llm", new SoftwareVersion(version));
  }

  private static List<Replica> replicas(String... versions) {
    List<Replica> replicas = new ArrayList<>();
    for (String version : versions) {
      replicas.add(replica("llm", "e-" + replicas.size(), version));
    }
    return replicas;
  }

  private static Replica replica(String service, String id, String version) {
    return new Replica(
        new ReplicaId(id),
        1,
        service,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 9_000),
        new SoftwareVersion(version),
        "zone",
        64,
        ReplicaState.READY);
  }

  /** A store whose calls end at once. */
  private static final class SharedStore {
    private final List<OriginBatch> batches = new ArrayList<>();
    private final Map<StreamOrigin, DeclaredOrigin> declared = new HashMap<>();
    private long era = 1;
    private int declarations;
    private boolean down;
    private boolean unreadable;

    /** Loses all declarations. */
    void revert() {
      era++;
      declared.clear();
    }

    /** Returns the view of one instance. */
    OriginStore reader() {
      return new OriginStore() {
        private int next;

        @Override
        public long era() {
          return era;
        }

        @Override
        public void declare(StreamOrigin origin, Consumer<Boolean> listener) {
          if (!down) {
            declarations++;
            declared.put(origin, new DeclaredOrigin(origin, "d" + declarations));
          }
          listener.accept(!down);
        }

        @Override
        public void listDeclared(ListingListener listener) {
          if (down) {
            listener.onFailed();
          } else {
            listener.onListed(List.copyOf(declared.values()), !unreadable);
          }
        }

        @Override
        public void append(OriginBatch batch, Consumer<Boolean> listener) {
          if (!down) {
            batches.add(batch);
          }
          listener.accept(!down);
        }

        @Override
        public void readNew(ReadListener listener) {
          if (down) {
            listener.onFailed();
            return;
          }
          List<OriginBatch> read = List.copyOf(batches.subList(next, batches.size()));
          next = batches.size();
          listener.onRead(read);
        }
      };
    }
  }

  private static final class NoListener implements StreamContinuity.Listener {
    @Override
    public void onRecorded(long total) {}

    @Override
    public void onRecordingFailed(int streams) {}

    @Override
    public void onReadFailed() {}

    @Override
    public void onDeclaration(StreamOrigin origin, boolean declared) {}
  }
}

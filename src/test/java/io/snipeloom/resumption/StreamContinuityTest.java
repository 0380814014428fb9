package io.snipeloom.resumption;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
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
import java.util.HashSet;
import java.util.List;
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

  private final SharedOriginStore store = new SharedOriginStore();
  private final List<StreamContinuity> instances = new ArrayList<>();
  private final Set<StreamContinuity> silent = new HashSet<>();
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
    silent.add(first);
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
    assertThat(store.batches(), is(empty()));
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
    store.setDown(true);
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
    silent.add(first);
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
    store.setDown(true);
    Replica fresh = replica("llm", "e-9", "v2");
    first.onReplica(fresh, nowNanos);
    assertThat(first.mayBegin(replicas.get(0), nowNanos), is(true));
    assertThat(first.mayBegin(fresh, nowNanos), is(false));
    store.setDown(false);
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
    store.setDown(true);
    first.onReplica(back, nowNanos);
    assertThat(first.mayBegin(back, nowNanos), is(false));
    store.setDown(false);
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
    silent.add(first);
    List<OriginLookup> found = find(second, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.found(SECOND, Source.STORE)));
    List<OriginLookup> unknown = find(second, "unknown");
    run(SECOND_NANOS);
    assertThat(unknown, contains(OriginLookup.unknown()));
  }

  /** Guards against an origin told by exclusion from declarations that the store has lost. */
  @Test
  void declarationThatTheStoreLostWithItsDeadWriterIsNotTakenForNone() {
    replicas = replicas("v1");
    run(SECOND_NANOS);
    store.copy();
    replicas = replicas("v1", "v2");
    run(SECOND_NANOS);
    assertThat(first.mayBegin(replicas.get(1), nowNanos), is(true));
    first.onBegun("a", SECOND, nowNanos);
    instances.remove(first);
    silent.add(first);
    store.revertToCopy();
    run(6 * SECOND_NANOS);
    List<OriginLookup> found = find(second, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against the same at an instance that starts after the store has come back. */
  @Test
  void lostDeclarationIsNotTakenForNoneByAnInstanceThatStartsAfterwards() {
    replicas = replicas("v1");
    run(SECOND_NANOS);
    store.copy();
    replicas = replicas("v1", "v2");
    run(SECOND_NANOS);
    first.onBegun("a", SECOND, nowNanos);
    instances.remove(first);
    silent.add(first);
    store.revertToCopy();
    StreamContinuity started = start(2);
    run(6 * SECOND_NANOS);
    List<OriginLookup> found = find(started, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against a guess from a declaration that this version of the software cannot read. */
  @Test
  void onlyVersionIsNotTakenForTheOriginIfOneDeclarationCannotBeRead() {
    replicas = replicas("v1");
    run(SECOND_NANOS);
    store.setUnreadable();
    List<OriginLookup> found = find(second, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  @Test
  void recordingThatFailedIsRepeated() {
    run(TICK_NANOS);
    store.setDown(true);
    first.onBegun("a", FIRST, nowNanos);
    run(SECOND_NANOS);
    store.setDown(false);
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

  /**
   * Guards against refusing streams of an instance that was cut off from the store and killed
   * during a release, although it can have begun them at one version only.
   */
  @Test
  void streamsOfInstanceThatWasCutOffBeforeReleaseGoOn() {
    replicas = replicas("v1");
    SharedOriginStore.Member member = store.member("edge-9", "edge-9-1");
    StreamContinuity cutOff = start(member, 3);
    run(SECOND_NANOS);
    cutOff.onBegun("before", FIRST, nowNanos);
    member.cutOff();
    replicas = replicas("v1", "v2");
    run(SECOND_NANOS);
    assertThat(cutOff.mayBegin(replicas.get(1), nowNanos), is(false));
    cutOff.onBegun("after", FIRST, nowNanos);
    crash(cutOff);
    OriginLookup found = OriginLookup.found(FIRST, Source.ONLY_REMAINING);
    assertThat(find(first, "before"), contains(found));
    assertThat(find(second, "after"), contains(found));
  }

  /** Guards against a guess where an instance that crashed could have begun either version. */
  @Test
  void streamOfCrashedInstanceThatHadDeclaredBothVersionsIsUnknown() {
    SharedOriginStore.Member member = store.member("edge-9", "edge-9-1");
    StreamContinuity crashing = start(member, 3);
    run(SECOND_NANOS);
    member.cutOff();
    crashing.onBegun("a", SECOND, nowNanos);
    run(SECOND_NANOS);
    crash(crashing);
    List<OriginLookup> found = find(first, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against taking the silence of an instance for its word that it knows nothing. */
  @Test
  void instanceThatDoesNotAnswerMayHaveBegunTheStream() {
    replicas = replicas("v1");
    SharedOriginStore.Member member = store.member("edge-9", "edge-9-1");
    StreamContinuity cutOff = start(member, 3);
    run(SECOND_NANOS);
    member.cutOff();
    replicas = replicas("v1", "v2");
    run(SECOND_NANOS);
    silent.add(second);
    crash(cutOff);
    List<OriginLookup> found = find(first, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against refusing a stream that an instance without the store knows. */
  @Test
  void instanceThatIsCutOffFromTheStoreTellsWhatItKnows() {
    SharedOriginStore.Member member = store.member("edge-9", "edge-9-1");
    StreamContinuity cutOff = start(member, 3);
    run(SECOND_NANOS);
    member.cutOff();
    cutOff.onBegun("a", SECOND, nowNanos);
    assertThat(find(first, "a"), contains(OriginLookup.found(SECOND, Source.PEER)));
  }

  /** Guards against the word of an incarnation for the streams of the one before it. */
  @Test
  void incarnationDoesNotAnswerForThePreviousOne() {
    SharedOriginStore.Member member = store.member("edge-9", "edge-9-1");
    StreamContinuity crashing = start(member, 3);
    run(SECOND_NANOS);
    member.cutOff();
    crashing.onBegun("a", SECOND, nowNanos);
    crash(crashing);
    replicas = replicas("v1", "v2");
    start(store.member("edge-9", "edge-9-2"), 3);
    run(SECOND_NANOS);
    List<OriginLookup> found = find(first, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against declarations of incarnations that are long gone, which pile up. */
  @Test
  void declarationsOfEarlierIncarnationsAreRemovedOnceTheirStreamsAreOver() {
    StreamContinuity crashing = start(store.member("edge-9", "edge-9-1"), 3);
    run(SECOND_NANOS);
    crash(crashing);
    start(store.member("edge-9", "edge-9-2"), 3);
    run(SECOND_NANOS);
    assertThat(store.declarersOf(FIRST), hasItem("edge-9-1"));
    run(121 * SECOND_NANOS);
    assertThat(store.declarersOf(FIRST), not(hasItem("edge-9-1")));
    assertThat(store.declarersOf(FIRST), hasItem("edge-9-2"));
  }

  /**
   * Guards against a guess after the store came back without a declaration of an instance that is
   * gone and cannot declare it again.
   */
  @Test
  void declarationThatTheStoreLostWithItsInstanceIsNotTakenForNone() {
    replicas = replicas("v1");
    SharedOriginStore.Member member = store.member("edge-9", "edge-9-1");
    final StreamContinuity crashing = start(member, 3);
    run(SECOND_NANOS);
    store.copy();
    replicas = replicas("v1", "v2");
    run(SECOND_NANOS);
    member.cutOff();
    crashing.onBegun("a", SECOND, nowNanos);
    crash(crashing);
    store.revertToCopy();
    run(20 * SECOND_NANOS);
    List<OriginLookup> found = find(first, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against the same guess where the store lost all declarations of an instance. */
  @Test
  void instanceThatSawTheStoreComeBackDoesNotGuess() {
    run(SECOND_NANOS);
    store.copy();
    SharedOriginStore.Member member = store.member("edge-9", "edge-9-1");
    StreamContinuity crashing = start(member, 4);
    run(SECOND_NANOS);
    member.cutOff();
    crashing.onBegun("a", SECOND, nowNanos);
    crash(crashing);
    store.revertToCopy();
    run(6 * SECOND_NANOS);
    replicas = replicas("v1");
    StreamContinuity endedEarly = start(store.member("edge-8", "edge-8-1"), 4);
    run(TICK_NANOS);
    crash(endedEarly);
    List<OriginLookup> found = find(first, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against taking the word of an instance that has dropped recent streams. */
  @Test
  void instanceThatHasDroppedRecentStreamsMayHaveBegunTheStream() {
    replicas = replicas("v1");
    StreamContinuity crashing = start(store.member("edge-8", "edge-8-1"), 4);
    run(SECOND_NANOS);
    crash(crashing);
    SharedOriginStore.Member member = store.member("edge-9", "edge-9-1");
    final StreamContinuity forgetful = start(member, 4);
    replicas = replicas("v1", "v2");
    run(SECOND_NANOS);
    member.cutOff();
    forgetful.onBegun("a", SECOND, nowNanos);
    for (int i = 0; i < 50_000; i++) {
      forgetful.onBegun("b" + i, SECOND, nowNanos);
    }
    run(SECOND_NANOS);
    List<OriginLookup> found = find(first, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against the same guess by an instance that has not noticed that the store came back. */
  @Test
  void instanceThatStartsAfterTheStoreCameBackDoesNotGuess() {
    replicas = replicas("v1");
    SharedOriginStore.Member member = store.member("edge-9", "edge-9-1");
    final StreamContinuity crashing = start(member, 3);
    run(SECOND_NANOS);
    store.copy();
    replicas = replicas("v1", "v2");
    run(SECOND_NANOS);
    member.cutOff();
    crashing.onBegun("a", SECOND, nowNanos);
    crash(crashing);
    store.revertToCopy();
    run(5 * SECOND_NANOS);
    StreamContinuity starting = start(store.member("edge-8", "edge-8-1"), 4);
    run(SECOND_NANOS);
    List<OriginLookup> found = find(starting, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against a guess from a declaration that does not tell who may begin streams. */
  @Test
  void declarationOfUnknownInstanceRulesNothingOut() {
    replicas = replicas("v1");
    SharedOriginStore.Member member = store.member("edge-9", "edge-9-1");
    StreamContinuity cutOff = start(member, 3);
    run(SECOND_NANOS);
    member.cutOff();
    store.member("", "").declare(SECOND, stored -> {});
    replicas = replicas("v1", "v2");
    run(SECOND_NANOS);
    crash(cutOff);
    List<OriginLookup> found = find(first, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against refusing streams about which the others were not asked in time. */
  @Test
  void allStreamsOfAnInstanceThatEndedGoOnAtOnce() {
    replicas = replicas("v1");
    run(SECOND_NANOS);
    int streams = 600;
    for (int i = 0; i < streams; i++) {
      first.onBegun("a" + i, FIRST, nowNanos);
    }
    crash(first);
    replicas = replicas("v1", "v2");
    run(SECOND_NANOS);
    List<OriginLookup> found = new ArrayList<>();
    for (int i = 0; i < streams; i++) {
      second.find("a" + i, nowNanos, found::add);
    }
    run(2 * SECOND_NANOS);
    assertThat(found.stream().filter(one -> one.origin().isPresent()).count(), is((long) streams));
  }

  /** Guards against a listing that is older than the stream that a caller resumes. */
  @Test
  void listingFromBeforeTheCallerCameRulesNothingOut() {
    replicas = replicas("v1");
    SharedOriginStore.Member searching = store.member("edge-8", "edge-8-1");
    final StreamContinuity asking = start(searching, 4);
    SharedOriginStore.Member member = store.member("edge-9", "edge-9-1");
    final StreamContinuity crashing = start(member, 4);
    run(SECOND_NANOS);
    first.onReplica(replica("llm", "e-9", "v2"), nowNanos);
    run(TICK_NANOS);
    searching.holdListing();
    find(asking, "other");
    crashing.onReplica(replica("llm", "e-9", "v2"), nowNanos);
    member.cutOff();
    crashing.onBegun("a", SECOND, nowNanos);
    crash(crashing);
    nowNanos += TICK_NANOS;
    List<OriginLookup> found = find(asking, "a");
    searching.releaseListing();
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against a guess by instances that have not seen a version for a minute. */
  @Test
  void versionThatAnInstanceCutOffFromTheStoreStillUsesCounts() {
    replicas = replicas("v1", "v2");
    SharedOriginStore.Member member = store.member("edge-9", "edge-9-1");
    final StreamContinuity cutOff = start(member, 3);
    run(SECOND_NANOS);
    find(second, "lists the declarations");
    run(SECOND_NANOS);
    member.cutOff();
    instances.remove(cutOff);
    List<Replica> old = replicas("v1");
    replicas = replicas("v2");
    for (int i = 0; i < 70; i++) {
      run(SECOND_NANOS);
      cutOff.onReplica(old.get(0), nowNanos);
      cutOff.tick(old, nowNanos);
    }
    assertThat(cutOff.mayBegin(old.get(0), nowNanos), is(true));
    cutOff.onBegun("a", FIRST, nowNanos);
    List<OriginLookup> found = find(second, "a");
    run(SECOND_NANOS);
    assertThat(found, contains(OriginLookup.unknown()));
  }

  /** Guards against long IDs of one caller that keep the question of all from being sent. */
  @Test
  void othersAreNotAskedAboutIdsThatAreTooLong() {
    List<String> asked = new ArrayList<>();
    StreamContinuity asking =
        new StreamContinuity(
            store.member("edge-9", "edge-9-1"),
            (attempts, listener) -> {
              asked.addAll(attempts);
              listener.accept(List.of());
            },
            "edge-9",
            "edge-9-1",
            () -> nowNanos / 1_000_000,
            () -> 3,
            new IgnoredOriginEvents());
    instances.add(asking);
    run(SECOND_NANOS);
    final List<OriginLookup> found = find(asking, "a".repeat(201));
    final List<OriginLookup> other = find(asking, "b");
    run(SECOND_NANOS);
    assertThat(asked, contains("b"));
    assertThat(found, contains(OriginLookup.unknown()));
    assertThat(other, contains(OriginLookup.unknown()));
  }

  @Test
  void largeFleetRecordsAtBoundedRate() {
    StreamContinuity member = start(500);
    run(TICK_NANOS);
    int before = store.batches().size();
    for (int i = 0; i < 200; i++) {
      member.onBegun("a" + i, FIRST, nowNanos);
      run(TICK_NANOS);
    }
    assertThat(store.batches().size() - before, is(lessThanOrEqualTo(3)));
  }

  @Test
  void batchIsDecodedAsItWasEncoded() {
    OriginBatch batch = new OriginBatch(7, List.of(new OriginRecord("a", FIRST)));
    assertThat(OriginBatch.parse(batch.toBytes()), is(batch));
    DeclaredOrigin declared = new DeclaredOrigin(FIRST, "once", "edge-1", "edge-1-1", 7);
    assertThat(DeclaredOrigin.parse(declared.toBytes()), is(declared));
    assertThrows(SnipeloomException.class, () -> DeclaredOrigin.parse(new byte[] {1, 2}));
    assertThrows(SnipeloomException.class, () -> OriginBatch.parse(new byte[] {1, 2}));
  }

  /** Guards against ruling out an instance that has forgotten recent streams. */
  @Test
  void memoryThatHasDroppedRecentStreamsIsNotComplete() {
    OriginMemory memory = new OriginMemory();
    for (int i = 0; i <= 50_000; i++) {
      memory.putUnrecorded("a" + i, FIRST, 0);
    }
    assertThat(memory.isComplete(1), is(true));
    memory.expire(1);
    assertThat(memory.isComplete(2), is(false));
    assertThat(memory.isComplete(OriginMemory.RETENTION_NANOS + 2), is(true));
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
    String name = "edge-" + instances.size();
    return start(store.member(name, name + "-1"), fleetSize);
  }

  private StreamContinuity start(SharedOriginStore.Member member, int fleetSize) {
    StreamContinuity instance =
        new StreamContinuity(
            member,
            this::ask,
            member.instance(),
            member.incarnation(),
            () -> nowNanos / 1_000_000,
            () -> fleetSize,
            new IgnoredOriginEvents());
    instance.onRoutes(Set.of("llm"), nowNanos);
    instances.add(instance);
    return instance;
  }

  /** Asks all instances that run and answer. */
  private void ask(List<String> attempts, Consumer<List<PeerAnswer>> listener) {
    listener.accept(
        instances.stream()
            .filter(instance -> !silent.contains(instance))
            .map(instance -> instance.answer(attempts, nowNanos))
            .toList());
  }

  /** Ends an instance as a crash does. */
  private void crash(StreamContinuity instance) {
    instances.remove(instance);
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
}

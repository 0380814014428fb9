package io.snipeloom.crashes;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.snipeloom.state.SnipeloomException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests when an instance refuses requests with a trait, and when it stops to do so. */
class CrashControlTest {
  private static final long MILLI = 1_000_000L;
  private static final RequestTrait BAD = RequestTrait.ofPart("bad");
  private static final String ME = "edge-1/first";
  private static final RequestTrait SHARED = RequestTrait.ofPart("shared");

  private final RecordingStore store = new RecordingStore();
  private final List<String> events = new ArrayList<>();
  private final CrashControl control =
      new CrashControl(store, ME, this::timeOfDayMillis, () -> 4, new EventRecorder());
  private long nowNanos = 1_000_000 * MILLI;
  private int crashes;

  /** A store that keeps what is written and fails on demand. */
  private static final class RecordingStore implements ConvictionStore {
    private final List<EvidenceBatch> batches = new ArrayList<>();
    private final List<Conviction> convictions = new ArrayList<>();
    private final List<RequestTrait> removed = new ArrayList<>();
    private final List<RequestTrait> claims = new ArrayList<>();
    private boolean available = true;

    @Override
    public void append(EvidenceBatch batch, Consumer<Boolean> listener) {
      if (available) {
        batches.add(EvidenceBatch.parse(batch.toBytes()));
      }
      listener.accept(available);
    }

    @Override
    public void put(Conviction conviction, Consumer<Boolean> listener) {
      if (available) {
        convictions.add(Conviction.parse(conviction.trait(), conviction.toBytes()));
      }
      listener.accept(available);
    }

    @Override
    public void claimTrial(RequestTrait request, String claimant, Consumer<Boolean> listener) {
      if (available) {
        claims.add(request);
      }
      listener.accept(available);
    }

    @Override
    public void remove(RequestTrait trait, Consumer<Boolean> listener) {
      if (available) {
        removed.add(trait);
      }
      listener.accept(available);
    }
  }

  private final class EventRecorder implements CrashControl.Listener {
    @Override
    public void onConvicted(Conviction conviction) {
      events.add("convicted " + conviction.trait());
    }

    @Override
    public void onConvictionEnded(RequestTrait trait, CrashControl.EndReason reason) {
      events.add("ended " + trait + " " + reason);
    }

    @Override
    public void onCrash(CrashReport report) {}

    @Override
    public void onEvidence(String instance, EvidenceBatch batch) {}

    @Override
    public void onRequestCrash(RequestTrait request, ReplicaIncarnation replica, int crashes) {}

    @Override
    public void onTrial(RequestTrait request, boolean granted) {
      events.add("trial " + request + " " + granted);
    }

    @Override
    public void onEvidenceNotStored(int crashes) {}

    @Override
    public void onConvictionNotStored(int convictions) {}
  }

  /**
   * Guards against an instance that needs the store to refuse what it saw crash replicas itself.
   */
  @Test
  void convictsByOwnEvidenceWhileStoreIsAwayAndStoresItLater() {
    store.available = false;
    crashUnderBadPart(5);
    assertThat(control.find(traits(BAD)).isPresent(), is(true));
    store.available = true;
    pass(2_000);
    assertThat(store.convictions, hasSize(1));
    assertThat(store.batches.stream().mapToInt(batch -> batch.crashes().size()).sum(), is(5));
  }

  @Test
  void partThatCrashedTooFewReplicasIsNotConvicted() {
    crashUnderBadPart(3);
    assertThat(events, is(empty()));
  }

  /** Guards against a sound part that is convicted because one request with it crashes replicas. */
  @Test
  void repeatedRequestIsConvictedWithoutItsParts() {
    for (int i = 0; i < 6; i++) {
      crashUnder("f00d", SHARED, BAD);
    }
    assertThat(events, contains("convicted request:f00d"));
  }

  /** Guards against requests that hide each other because several of them crash replicas. */
  @Test
  void requestIsRefusedAfterThreeCrashesHoweverManyOthersThereAre() {
    for (int i = 0; i < 3; i++) {
      for (int culprit = 0; culprit < 8; culprit++) {
        assertThat(control.find(only("f00d" + culprit)).isPresent(), is(false));
        crashUnder("f00d" + culprit);
      }
    }
    for (int culprit = 0; culprit < 8; culprit++) {
      assertThat(control.find(only("f00d" + culprit)).isPresent(), is(true));
    }
  }

  /** Guards against a request that goes on to the next replica before the end of one is proved. */
  @Test
  void requestIsRefusedWhileItIsNotKnownWhetherThirdReplicaEnded() {
    crashUnder("f00d");
    crashUnder("f00d");
    ReplicaIncarnation third = nextReplica();
    InFlight broken = new InFlight(only("f00d"), nowNanos, true);
    control.onBroken(third, broken, nowNanos);
    assertThat(control.find(only("f00d")).isPresent(), is(true));
    control.onAlive(third, List.of(broken));
    assertThat(control.find(only("f00d")).isPresent(), is(false));
  }

  /** Guards against a sound request that is refused for good because it was beside crashes. */
  @Test
  void refusedRequestThatCompletesInItsTrialIsServedAgain() {
    refuseAndGrantTrial();
    control.onCompleted(only("f00d"), "app", nowNanos, true);
    pass(100);
    assertThat(control.find(only("f00d")).isPresent(), is(false));
    assertThat(store.removed, contains(request("f00d")));
  }

  /** Guards against a second trial, which would crash another replica. */
  @Test
  void refusedRequestHasOneTrial() {
    refuseAndGrantTrial();
    crashUnder("f00d");
    pass(10_000);
    assertThat(admit("f00d"), is("refused"));
    assertThat(store.claims, hasSize(1));
  }

  @Test
  void trialIsNotDueRightAfterTheCrash() {
    crashUnder("f00d");
    crashUnder("f00d");
    crashUnder("f00d");
    assertThat(admit("f00d"), is("refused"));
    assertThat(store.claims, is(empty()));
  }

  /** Guards against a trial while the claim may not be the first. */
  @Test
  void refusedRequestStaysRefusedWhenTheClaimCannotBeStored() {
    refuse();
    store.available = false;
    assertThat(admit("f00d"), is("refused"));
  }

  private void refuse() {
    crashUnder("f00d");
    crashUnder("f00d");
    crashUnder("f00d");
    pass(2_000);
  }

  private void refuseAndGrantTrial() {
    refuse();
    List<Admission> admissions = new ArrayList<>();
    control.admit(only("f00d"), nowNanos, admissions::add);
    control.onTrialClaimed(request("f00d"), ME);
    assertThat(admissions, contains(Admission.TRIAL));
  }

  /** Returns what an instance that reads no claim of others decides at once. */
  private String admit(String request) {
    List<String> decided = new ArrayList<>();
    control.admit(
        only(request),
        nowNanos,
        admission -> decided.add(admission.conviction().isPresent() ? "refused" : "admitted"));
    return String.join(",", decided);
  }

  private static RequestTraits only(String id) {
    return new RequestTraits(request(id), List.of());
  }

  /** Guards against requests that hide the part that they share, because each comes again. */
  @Test
  void partIsConvictedAlthoughEachOfItsRequestsComesAgain() {
    for (int i = 0; i < 3; i++) {
      for (int repetition = 0; repetition < 4; repetition++) {
        crashUnder("f00d" + i, BAD);
      }
    }
    assertThat(control.find(traits(BAD)).isPresent(), is(true));
  }

  @Test
  void survivedRequestEndsConviction() {
    crashUnderBadPart(5);
    control.onSurvived(traits(BAD), nowNanos);
    pass(100);
    assertThat(control.find(traits(BAD)).isPresent(), is(false));
    assertThat(store.removed, contains(BAD));
  }

  /** Guards against a conviction that an operator lifted and that old crashes renew at once. */
  @Test
  void liftedConvictionIsNotRenewedByOldCrashes() {
    crashUnderBadPart(5);
    control.onRemoved(BAD);
    pass(3_000);
    assertThat(control.find(traits(BAD)).isPresent(), is(false));
    assertThat(events, contains("convicted part:bad", "ended part:bad REMOVED"));
  }

  @Test
  void convictionOfAnotherInstanceHoldsAfterRelisting() {
    Conviction other = new Conviction(SHARED, 4, timeOfDayMillis());
    control.onListed(List.of(other), Map.of());
    assertThat(control.find(traits(BAD, SHARED)).isPresent(), is(true));
    control.onListed(List.of(), Map.of());
    assertThat(control.find(traits(SHARED)).isPresent(), is(false));
  }

  @Test
  void convictionEndsAfterDay() {
    control.onListed(List.of(new Conviction(SHARED, 4, timeOfDayMillis() - 86_400_001)), Map.of());
    pass(100);
    assertThat(events, contains("convicted part:shared", "ended part:shared EXPIRED"));
    assertThat(store.removed, contains(SHARED));
  }

  /** Guards against evidence that cannot be read again because an identifier is long. */
  @Test
  void traitsOfAnyLengthCanBeReadAgain() {
    for (int length : new int[] {1, 16, 63, 64, 65, 4_000}) {
      RequestTrait trait = RequestTrait.ofPart("a".repeat(length));
      assertThat(RequestTrait.parse(trait.toString()), is(trait));
    }
  }

  @Test
  void bytesThatAreNoEvidenceAreRejected() {
    byte[] bytes = {9, 2, 3};
    Assertions.assertThrows(SnipeloomException.class, () -> EvidenceBatch.parse(bytes));
    Assertions.assertThrows(SnipeloomException.class, () -> Conviction.parse(BAD, bytes));
    Assertions.assertThrows(SnipeloomException.class, () -> RequestTrait.parse("part"));
  }

  /** Crashes replicas one after the other under the part, which few of the requests have. */
  private void crashUnderBadPart(int count) {
    for (int i = 0; i < 50; i++) {
      control.onSent(traits(SHARED), nowNanos);
    }
    control.onSurvived(traits(SHARED), nowNanos);
    for (int i = 0; i < count; i++) {
      crashUnder("request-" + i, SHARED, BAD);
    }
  }

  private void crashUnder(String request, RequestTrait... parts) {
    long sentNanos = nowNanos;
    RequestTraits traits = new RequestTraits(request(request), List.of(parts));
    control.onSent(traits, sentNanos);
    pass(300);
    control.onCrash(
        nextReplica(), nowNanos, List.of(new InFlight(traits, sentNanos, false)), nowNanos);
    pass(100);
  }

  private ReplicaIncarnation nextReplica() {
    return new ReplicaIncarnation("app", "replica-" + ++crashes);
  }

  private static RequestTraits traits(RequestTrait... parts) {
    return new RequestTraits(request("any"), List.of(parts));
  }

  private static RequestTrait request(String id) {
    return new RequestTrait(RequestTrait.Kind.REQUEST, id);
  }

  private void pass(long millis) {
    for (long passed = 0; passed < millis; passed += 50) {
      nowNanos += 50 * MILLI;
      control.tick(nowNanos);
    }
  }

  private long timeOfDayMillis() {
    return 1_700_000_000_000L + nowNanos / MILLI;
  }
}

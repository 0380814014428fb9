package io.snipeloom.crashes;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that one instance at the most may try a refused request. */
class RequestTrialsTest {
  private static final RequestTrait REQUEST = new RequestTrait(RequestTrait.Kind.REQUEST, "f00d");
  private static final String ME = "edge-1/a";
  private static final String OTHER = "edge-2/a";

  private final RequestTrials trials = new RequestTrials(ME);
  private final List<Boolean> outcomes = new ArrayList<>();

  @Test
  void firstClaimInTheOrderOfTheStoreHasTheTrial() {
    trials.await(REQUEST, outcomes::add, 0);
    trials.onClaimed(REQUEST, ME);
    trials.onClaimed(REQUEST, OTHER);
    assertThat(outcomes, contains(true));
    assertThat(trials.isOpen(REQUEST), is(false));
  }

  @Test
  void laterClaimIsNotGranted() {
    trials.await(REQUEST, outcomes::add, 0);
    trials.onClaimed(REQUEST, OTHER);
    trials.onClaimed(REQUEST, ME);
    assertThat(outcomes, contains(false));
  }

  /** Guards against a claim of the incarnation before, which may have been used. */
  @Test
  void claimOfAnotherIncarnationIsNotGranted() {
    trials.await(REQUEST, outcomes::add, 0);
    trials.onClaimed(REQUEST, "edge-1/b");
    assertThat(outcomes, contains(false));
  }

  /** Guards against a trial that is granted although an earlier claim was not read. */
  @Test
  void claimThatIsListedIsNotGranted() {
    trials.await(REQUEST, outcomes::add, 0);
    trials.onListed(Map.of(REQUEST, ME));
    trials.onClaimed(REQUEST, ME);
    assertThat(outcomes, contains(false));
  }

  @Test
  void requestDoesNotWaitLongForItsClaim() {
    trials.await(REQUEST, outcomes::add, 0);
    trials.tick(500_000_000L);
    assertThat(outcomes, is(empty()));
    trials.tick(700_000_000L);
    assertThat(outcomes, contains(false));
  }

  /** Guards against a second trial after the store has lost the claim of the first. */
  @Test
  void claimIsStoredAgainAfterTheStoreReverted() {
    trials.onClaimed(REQUEST, OTHER);
    trials.onStoreReverted();
    assertThat(trials.nextUnstored().get(), is(REQUEST));
    assertThat(trials.claimantOf(REQUEST), is(OTHER));
    trials.onStoredAgain(REQUEST);
    assertThat(trials.nextUnstored().isPresent(), is(false));
  }
}

package io.snipeloom.crashes;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests the rules of evidence one by one, each on crashes that only this rule tells apart. */
class CrashEvidenceTest {
  private static final RequestTrait PART = RequestTrait.ofPart("p1");
  private static final RequestTrait COMMON_PART = RequestTrait.ofPart("p0");
  private static final double RARE = 0.01;

  private final CrashEvidence evidence = new CrashEvidence();
  private final List<RequestTrait> convicted = new ArrayList<>();
  private int replicas;

  @Test
  void partOfDifferentRequestsAtFourSingleCrashesIsTheCulprit() {
    for (int crash = 0; crash < 4; crash++) {
      crash(1_000L * crash, PART);
    }
    assertThat(culprits(10_000), contains(PART));
  }

  /** Guards against a part that is convicted because replicas fail together, such as in a rack. */
  @Test
  void partAtReplicasThatCrashTogetherIsNotTheCulprit() {
    for (int moment = 0; moment < 4; moment++) {
      for (int replica = 0; replica < 3; replica++) {
        crash(1_000L * moment + replica, PART);
      }
    }
    assertThat(culprits(10_000), is(empty()));
  }

  /** Guards against a part that is convicted because replicas crash all the time without it. */
  @Test
  void partThatIsAbsentFromMostCrashesIsNotTheCulprit() {
    for (int crash = 0; crash < 20; crash++) {
      crash(1_000L * crash, crash % 5 == 0 ? PART : RequestTrait.ofPart("other" + crash));
    }
    assertThat(culprits(30_000), is(empty()));
  }

  /**
   * Guards against a part in all prompts that is convicted with the crashing one, because no
   * request without that was survived yet.
   */
  @Test
  void ofPartsThatWereAtTheSameCrashesTheRarestIsTheCulprit() {
    for (int crash = 0; crash < 5; crash++) {
      crash(1_000L * crash, suspect(COMMON_PART, 0.4), suspect(PART, RARE));
    }
    assertThat(culprits(10_000), contains(PART));
  }

  /** Guards against the same before requests without the crashing part were sent. */
  @Test
  void ofPartsThatWereAlwaysTogetherTheLastOfThePromptIsTheCulprit() {
    for (int crash = 0; crash < 5; crash++) {
      crash(1_000L * crash, suspect(COMMON_PART, RARE), suspect(PART, RARE));
    }
    assertThat(culprits(10_000), contains(PART));
  }

  /** Guards against as many crashes once more until the true one of several parts is found. */
  @Test
  void partThatCrashesWithoutTheConvictedOneIsTheCulpritAtOnce() {
    for (int crash = 0; crash < 5; crash++) {
      crash(1_000L * crash, suspect(COMMON_PART, RARE), suspect(PART, RARE));
    }
    assertThat(culprits(5_000), contains(PART));
    crash(6_000, suspect(COMMON_PART, RARE));
    assertThat(culprits(10_000), contains(PART, COMMON_PART));
  }

  /**
   * Guards against a part of all prompts that is convicted because other instances have yet to say
   * what else was at the last crash.
   */
  @Test
  void crashThatOtherInstancesHaveYetToReportDoesNotDecide() {
    for (int crash = 0; crash < 3; crash++) {
      crash(1_000L * crash, suspect(COMMON_PART, RARE), suspect(PART, RARE));
    }
    crash(3_000, suspect(COMMON_PART, RARE));
    assertThat(culprits(3_050), is(empty()));
  }

  /** Guards against a sound part that is convicted by one crash with which it has nothing to do. */
  @Test
  void partThatWasSurvivedSinceIsNotTheCulpritOfOneLaterCrash() {
    for (int crash = 0; crash < 5; crash++) {
      crash(1_000L * crash, suspect(COMMON_PART, RARE), suspect(PART, RARE));
    }
    assertThat(culprits(5_000), contains(PART));
    evidence.addSound(COMMON_PART, TimeUnit.MILLISECONDS.toNanos(5_500));
    crash(6_000, suspect(COMMON_PART, RARE));
    assertThat(culprits(10_000), contains(PART));
  }

  /** Records a crash under one request with the trait, which was sent 100 ms before. */
  private void crash(long atMillis, RequestTrait trait) {
    crash(atMillis, suspect(trait, RARE));
  }

  private void crash(long atMillis, Suspect... suspects) {
    String id = Integer.toString(++replicas);
    List<Suspect> ofRequest =
        Stream.of(suspects)
            .map(one -> new Suspect(one.trait(), 100, "request" + id, one.share()))
            .toList();
    evidence.addCrash(
        new CrashReport("replica" + id, 0, 1, ofRequest), TimeUnit.MILLISECONDS.toNanos(atMillis));
  }

  private static Suspect suspect(RequestTrait trait, double share) {
    return new Suspect(trait, 100, "", share);
  }

  /** Convicts one culprit after the other and returns all that were, in that order. */
  private List<RequestTrait> culprits(long atMillis) {
    long nowNanos = TimeUnit.MILLISECONDS.toNanos(atMillis);
    Optional<CrashEvidence.Culprit> next;
    do {
      next = evidence.findCulprit(convicted::contains, Map.of(), nowNanos);
      next.ifPresent(culprit -> convicted.add(culprit.trait()));
    } while (next.isPresent());
    return convicted;
  }
}

package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ReplicaPickerTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final EngineTraits TRAITS = new EngineTraits(64, 400_000, 5);

  /**
   * Guards against every replica processing each of many shared parts of 13,300 tokens when
   * requests arrive through several instances.
   */
  @Test
  void placementHalvesTheProcessedTokens() {
    long withPlacement = processedTokens(true);
    long atRandom = processedTokens(false);
    assertThat("processed tokens with placement", withPlacement, lessThan(atRandom / 2));
  }

  /**
   * Guards against a part that most requests share being processed by every replica or served by
   * only one.
   */
  @Test
  void largeHotPartIsServedByTwoReplicas() {
    ReplicaPicker picker =
        new ReplicaPicker(
            "zone", new LimitShares("edge-1", () -> 0), new PeerDemand(), new Random(1));
    List<ReplicaView> views = views(6);
    Set<ReplicaId> used = new HashSet<>();
    long now = SECOND_NANOS;
    for (int i = 0; i < 200; i++) {
      now += SECOND_NANOS / 10;
      ReplicaView view = picker.pick(views, promptWithSharedPart("hot", i), now).orElseThrow();
      send(picker, view, views, promptWithSharedPart("hot", i), now);
      used.add(view.replica().id());
    }
    assertThat("replicas that served the hot part", used.size(), is(2));
  }

  /**
   * Guards against short prompts waiting behind long prompts at the replica they are assigned to.
   */
  @Test
  void shortPromptAvoidsReplicaWithPendingLongPrompts() {
    ReplicaPicker picker =
        new ReplicaPicker(
            "zone", new LimitShares("edge-1", () -> 0), new PeerDemand(), new Random(1));
    List<ReplicaView> views = views(3);
    Prompt chat = new Prompt(1_460, 80, List.of(new PromptPart("chat", 1_460)));
    ReplicaView assigned = picker.pick(views, chat, SECOND_NANOS).orElseThrow();
    assigned.load().onSent(60_000);
    ReplicaView other = picker.pick(views, chat, SECOND_NANOS).orElseThrow();
    assertThat(other.replica().id(), not(assigned.replica().id()));
  }

  /** Guards against a replica that fails some requests but passes its health check. */
  @Test
  void replicaThatFailsHalfOfItsRequestsGetsFewerRequests() {
    ReplicaPicker picker =
        new ReplicaPicker(
            "zone", new LimitShares("edge-1", () -> 0), new PeerDemand(), new Random(1));
    List<ReplicaView> views = views(3);
    Random random = new Random(1);
    int failing = 0;
    for (int i = 0; i < 300; i++) {
      ReplicaView view = picker.pick(views, SECOND_NANOS).orElseThrow();
      boolean isFailing = view.equals(views.get(0));
      failing += isFailing ? 1 : 0;
      view.health().onResponse(!isFailing || random.nextBoolean());
      view.load().onSent(0);
      if (i % 3 == 2) {
        views.forEach(each -> endAll(each));
      }
    }
    assertThat("requests at the failing replica", failing, lessThan(70));
  }

  @Test
  void unreachableReplicaIsNotPickedWhileOthersAreReachable() {
    ReplicaPicker picker =
        new ReplicaPicker(
            "zone", new LimitShares("edge-1", () -> 0), new PeerDemand(), new Random(1));
    List<ReplicaView> views = views(2);
    views.get(0).health().onUnreachable(SECOND_NANOS);
    for (int i = 0; i < 10; i++) {
      assertThat(picker.pick(views, SECOND_NANOS).orElseThrow(), is(views.get(1)));
    }
  }

  @Test
  void allInstancesPickTheSameReplica() {
    List<ReplicaView> views = views(6);
    List<ReplicaView> reversed = new ArrayList<>(views);
    java.util.Collections.reverse(reversed);
    for (int i = 0; i < 50; i++) {
      Prompt prompt = promptWithSharedPart("shared-" + i, 0);
      assertThat(
          new ReplicaPicker(
                  "zone", new LimitShares("edge-1", () -> 0), new PeerDemand(), new Random(1))
              .pick(views, prompt, SECOND_NANOS),
          is(
              new ReplicaPicker(
                      "zone", new LimitShares("edge-1", () -> 0), new PeerDemand(), new Random(1))
                  .pick(reversed, prompt, SECOND_NANOS)));
    }
  }

  private static long processedTokens(boolean withPlacement) {
    List<ReplicaPicker> pickers =
        List.of(
            new ReplicaPicker(
                "zone", new LimitShares("edge-1", () -> 0), new PeerDemand(), new Random(1)),
            new ReplicaPicker(
                "zone", new LimitShares("edge-1", () -> 0), new PeerDemand(), new Random(1)));
    List<List<ReplicaView>> viewsByInstance = List.of(views(6), views(6));
    List<PrefixCacheModel> caches = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      caches.add(new PrefixCacheModel(400_000));
    }
    Random random = new Random(7);
    long processed = 0;
    long now = SECOND_NANOS;
    for (int i = 0; i < 3_000; i++) {
      now += SECOND_NANOS / 9;
      int instance = random.nextInt(2);
      Prompt prompt = promptWithSharedPart("shared-" + random.nextInt(47), i);
      List<ReplicaView> views = viewsByInstance.get(instance);
      ReplicaView view =
          withPlacement
              ? pickers.get(instance).pick(views, prompt, now).orElseThrow()
              : views.get(random.nextInt(6));
      int index = views.indexOf(view);
      PromptPart shared = prompt.parts().get(0);
      processed +=
          prompt.inputTokens() - (caches.get(index).contains(shared) ? shared.tokens() : 0);
      caches.get(index).recordPrompt(prompt.parts());
      send(pickers.get(instance), view, views, prompt, now);
    }
    assertThat(processed, greaterThan(0L));
    return processed;
  }

  private static void send(
      ReplicaPicker picker, ReplicaView view, List<ReplicaView> views, Prompt prompt, long now) {
    long tokens = picker.uncachedTokens(view, views, prompt, now);
    picker.recordPrompt(prompt, now);
    view.prefixCache().recordPrompt(prompt.parts());
    view.load().onSent(tokens);
    view.load().onPrefillDone(tokens);
    view.load().onEnded();
  }

  private static void endAll(ReplicaView view) {
    while (view.load().inFlight() > 0) {
      view.load().onEnded();
    }
  }

  private static Prompt promptWithSharedPart(String id, int request) {
    return new Prompt(
        17_020,
        120,
        List.of(new PromptPart(id, 13_300), new PromptPart(id + "-" + request, 3_720)));
  }

  private static List<ReplicaView> views(int count) {
    List<ReplicaView> views = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Replica replica =
          new Replica(
              new ReplicaId("replica-" + i),
              1,
              "service",
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 9_000 + i),
              new SoftwareVersion("v1"),
              "zone",
              64,
              ReplicaState.READY);
      views.add(ReplicaView.of(replica, TRAITS));
    }
    return views;
  }
}

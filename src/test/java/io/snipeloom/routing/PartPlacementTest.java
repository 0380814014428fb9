package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.snipeloom.state.RendezvousHash;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests where the parts of a prompt are placed among up to hundreds of replicas. */
class PartPlacementTest {
  private static final int PARTS = 3;

  @Test
  void partIsAssignedToTheReplicasOfHighestWeight() {
    for (int replicas : new int[] {1, 2, 3, 42, 527}) {
      List<ReplicaView> views = views(replicas);
      for (int copies : new int[] {1, 2, 5, PartPlacement.EVERY_REPLICA}) {
        PartPlacement placement = new PartPlacement(views, prompt(), part -> copies);
        for (ReplicaView view : views) {
          for (int i = 0; i < PARTS; i++) {
            assertThat(placement.isAssigned(view, i), is(higherWeights(views, view, i) < copies));
          }
        }
      }
    }
  }

  /** Guards against a choice whose work grows with the square of the number of replicas. */
  @Test
  void candidatesAreRankedOnceForEachPart() {
    List<ReplicaView> views = views(527);
    List<String> ranked = new ArrayList<>();
    PartPlacement placement =
        new PartPlacement(
            views,
            prompt(),
            part -> {
              ranked.add(part.id());
              return 1;
            });
    for (ReplicaView view : views) {
      for (int i = 0; i < PARTS; i++) {
        placement.isAssigned(view, i);
      }
    }
    assertThat(ranked.size(), lessThanOrEqualTo(PARTS));
  }

  private static long higherWeights(List<ReplicaView> views, ReplicaView view, int index) {
    return views.stream().filter(other -> weight(other, index) > weight(view, index)).count();
  }

  private static long weight(ReplicaView view, int index) {
    String part = prompt().parts().get(index).id();
    return RendezvousHash.weightOf(view.replica().id().value(), part);
  }

  private static Prompt prompt() {
    List<PromptPart> parts = new ArrayList<>();
    for (int i = 0; i < PARTS; i++) {
      parts.add(new PromptPart("part-" + i, 1_000));
    }
    return new Prompt(PARTS * 1_000L, 100, parts);
  }

  private static List<ReplicaView> views(int count) {
    List<ReplicaView> views = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      views.add(
          ReplicaView.of(
              new Replica(
                  new ReplicaId("replica-" + i),
                  1,
                  "service",
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), 1_000 + i),
                  new SoftwareVersion("v1"),
                  "zone",
                  64,
                  ReplicaState.READY),
              null));
    }
    return views;
  }
}

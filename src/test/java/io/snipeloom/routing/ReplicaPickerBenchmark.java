package io.snipeloom.routing;

import io.snipeloom.cost.RequestCost;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time of choosing a replica, with and without learned costs. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class ReplicaPickerBenchmark {
  private static final long NOW = 1_000_000_000L;

  @Param({"13", "60", "527"})
  int replicas;

  @Param({"false", "true"})
  boolean learned;

  private final List<ReplicaView> views = new ArrayList<>();
  private final Random random = new Random(1);
  private final PeerDemand peers = new PeerDemand();
  private ReplicaPicker picker;
  private int next;

  /** Builds the replicas, with requests of this and of another instance. */
  @Setup
  public void build() {
    picker = new ReplicaPicker("zone", new LimitShares("edge-1", () -> 0), peers, new Random(1));
    peers.changeOthers(1);
    List<ReplicaDemand> demands = new ArrayList<>();
    for (int i = 0; i < replicas; i++) {
      ReplicaView view = ReplicaView.of(replica(i), new EngineTraits(64, 400_000, 4));
      view.load().onSent(random.nextInt(20_000));
      demands.add(new ReplicaDemand(view.replica().id(), 3, random.nextInt(20_000)));
      views.add(view);
    }
    peers.onReport(new DemandReport("edge-2", demands, List.of()), NOW);
    if (learned) {
      learn();
    }
  }

  private void learn() {
    for (int i = 0; i < 100; i++) {
      picker.costs().service("llm").onFirstEvent(i * 200, 20 + i * 4, 1);
      picker.costs().service("llm").onOutput(i % 40, 5 + i % 40 * 0.1, 1);
      picker.costs().service("llm").onMeanOutput(i % 40, 5 + i % 40 * 0.1, 1);
    }
    for (ReplicaView view : views) {
      view.costs().pace().onStated(random.nextInt(7) == 0 ? 250 : 100, NOW);
      view.costs().pace().onObserved(0.6 + random.nextDouble(), NOW);
    }
  }

  private static Replica replica(int index) {
    return new Replica(
        new ReplicaId("i-" + index),
        1,
        "llm",
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1_000 + index),
        new SoftwareVersion("v1"),
        "zone",
        64,
        ReplicaState.READY);
  }

  /** Chooses a replica for a prompt with a shared part. */
  @Benchmark
  public Optional<ReplicaView> pick() {
    next++;
    Prompt prompt =
        new Prompt(
            17_020,
            500,
            List.of(new PromptPart("shared-" + next % 50, 13_300), new PromptPart("own", 3_720)));
    return picker.pick(
        views, prompt, new RequestCost(17_020, learned ? 120 : 0, 200), learned ? 250 : 0, NOW);
  }
}

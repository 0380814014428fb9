package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.RendezvousHash;
import io.snipeloom.state.RequestClass;
import io.snipeloom.state.RequestClassId;
import io.snipeloom.state.Urgency;
import io.snipeloom.state.Zone;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
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

/**
 * Measures the time and allocation of picking a back end and of admitting a request; run by
 * bench/routing-jmh.sh.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class RoutingBenchmark {
  private static final int PREFIXES = 64;

  @Param({"8", "80", "800", "8000"})
  int replicas;

  private final SplittableRandom random = new SplittableRandom(7);
  private final List<RouteRequest> requests = new ArrayList<>();
  private BackEnds backEnds;
  private BackEndPicker picker;
  private AdmissionQueue queue;
  private AdmissionRequest admissionRequest;
  private int nextRequest;

  /** Builds the fleet and fills the prefix index. */
  @Setup
  public void build() {
    List<BackEnd> members = new ArrayList<>();
    for (int i = 0; i < replicas; i++) {
      members.add(FakeLink.backEnd("s" + i, "z" + i % 7, System::nanoTime));
    }
    backEnds = BackEnds.of(members);
    picker =
        BackEndPicker.of(
            RoutingPolicy.SCORED,
            PrefixIndex.of(PrefixIndex.DEFAULT_ENTRIES, System::nanoTime),
            System::nanoTime);
    for (int i = 0; i < PREFIXES; i++) {
      long[] hashes = new long[32];
      for (int j = 0; j < hashes.length; j++) {
        hashes[j] = RendezvousHash.mix(i * 100L + j);
      }
      PrefixChain prefix = PrefixChain.ofHashes(hashes);
      requests.add(
          new RouteRequest(
              FakeLink.MODEL, Zone.of("z0"), prefix, Urgency.PROMPT, Long.MAX_VALUE, Set.of()));
      picker.prefixes().recordSend(members.get(random.nextInt(replicas)), prefix);
    }
    queue = AdmissionQueue.of(FakeLink.UPSTREAM, 64, 1000, System::nanoTime, new MetricRegistry());
    admissionRequest =
        new AdmissionRequest(
            CustomerId.of("a"),
            new RequestClass(
                RequestClassId.of("c"), Urgency.PROMPT, FakeLink.UPSTREAM, null, 1, 0, 0, 100),
            1,
            Long.MAX_VALUE);
  }

  /** Picks a back end for one request. */
  @Benchmark
  public Optional<BackEnd> pick() {
    return picker.pick(requests.get(nextRequest++ % PREFIXES), backEnds, random);
  }

  /** Offers one request to the admission queue and releases it. */
  @Benchmark
  public int offerAndRelease() {
    Admission admission = queue.offer(admissionRequest);
    admission.release();
    return queue.inFlight();
  }
}

package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import io.snipeloom.cost.PredictedService;
import io.snipeloom.cost.RequestCost;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what the learned costs say of a replica, and which replica they choose. */
class FleetCostsTest {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final EngineTraits TRAITS = new EngineTraits(64, 400_000, 4);
  private static final double STEP_MILLIS = 5.6;
  private static final double STEP_MILLIS_PER_REQUEST = 0.12;
  private static final double TOKENS_PER_MILLI = 55;

  private final ReplicaPicker picker =
      new ReplicaPicker(
          "zone", new LimitShares("edge-1", () -> 0), new PeerDemand(), new Random(1));
  private final FleetCosts costs = picker.costs();
  private long now = 1_000 * MILLI_NANOS;

  private static ReplicaView view(String id) {
    return ReplicaView.of(
        new Replica(
            new ReplicaId(id),
            1,
            "llm",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1_000),
            new SoftwareVersion("v1"),
            "zone",
            64,
            ReplicaState.READY),
        TRAITS);
  }

  /** Lets the service be learned from requests that run alone or with some others. */
  @BeforeEach
  void learnService() {
    ReplicaView teacher = view("teacher");
    Random random = new Random(2);
    for (int i = 0; i < 100; i++) {
      int running = 1 + random.nextInt(40);
      double tokens = random.nextInt(20_000);
      costs.service("llm").onFirstEvent(tokens, 20 + tokens / TOKENS_PER_MILLI, 1);
      double millis = STEP_MILLIS + STEP_MILLIS_PER_REQUEST * running;
      costs.service("llm").onOutput(running, millis, 1);
      costs.service("llm").onMeanOutput(running, millis, 1);
    }
    assertThat(costs.running(teacher, now), is(0.0));
  }

  private void send(ReplicaView view, int count, double outputTokens) {
    for (int i = 0; i < count; i++) {
      var unused = costs.onSent(view, new RequestCost(1_500, outputTokens, outputTokens), 0, now);
      view.load().onSent(0);
    }
  }

  private ReplicaView pick(List<ReplicaView> views, double outputTokens, long targetGapMillis) {
    Prompt prompt = new Prompt(1_500, 1_000, List.of());
    RequestCost cost = new RequestCost(1_500, outputTokens, outputTokens);
    return picker.pick(views, prompt, cost, targetGapMillis, now).orElseThrow();
  }

  /** Load: as many requests at two replicas, with outputs of 10 and 500 tokens. */
  @Test
  void replicaWhoseRequestsGenerateLessIsChosen() {
    ReplicaView longOutputs = view("a");
    ReplicaView shortOutputs = view("b");
    send(longOutputs, 10, 500);
    send(shortOutputs, 10, 10);
    assertThat(pick(List.of(longOutputs, shortOutputs), 300, 0), is(shortOutputs));
  }

  /** Load: an estimate that is wrong by three; it must not outweigh a prompt to be read. */
  @Test
  void estimateWrongByThreeCostsLessThanOnePrompt() {
    ReplicaView idle = view("a");
    ReplicaView busy = view("b");
    send(busy, 3, 300);
    idle.load().onSent(3_000);
    assertThat(pick(List.of(idle, busy), 100, 0), is(busy));
    send(busy, 0, 900);
    assertThat(pick(List.of(idle, busy), 300, 0), is(busy));
  }

  /** Load: a memory that is nearly full at the replica which has the fewest tokens pending. */
  @Test
  void replicaWhoseMemoryIsFullIsAvoided() {
    ReplicaView full = view("a");
    ReplicaView free = view("b");
    var unused = costs.onSent(full, new RequestCost(390_000, 100, 100), 390_000, now);
    free.load().onSent(500);
    assertThat(pick(List.of(full, free), 100, 0), is(free));
    PredictedService predicted = costs.predict(full, new RequestCost(1_500, 100, 100), 1_500, now);
    assertThat(predicted.fits(), is(false));
    assertThat(costs.predict(free, new RequestCost(1_500, 100, 100), 1_500, now).fits(), is(true));
  }

  /** Load: a host that works 2.5 times slower now, at which streams would pause too long. */
  @Test
  void replicaWhoseStreamsWouldPauseTooLongIsAvoided() {
    ReplicaView slowed = view("a");
    ReplicaView pending = view("b");
    slowed.costs().pace().onStated(700, now);
    pending.load().onSent(3_000);
    assertThat("without an expected pause", pick(List.of(slowed, pending), 100, 0), is(slowed));
    assertThat(pick(List.of(slowed, pending), 100, 50), is(pending));
  }

  /** Load: a replica with prompts and requests of other instances, which have reported them. */
  @Test
  void predictionRestsOnTheWorkOfAllInstances() {
    ReplicaView view = view("a");
    RequestCost cost = new RequestCost(5_500, 100, 200);
    PredictedService alone = costs.predict(view, cost, 5_500, now);
    assertThat(alone.known(), is(true));
    assertThat(alone.firstEventMillis(), closeTo(20 + 5_500 / TOKENS_PER_MILLI, 10));
    assertThat(alone.gapMillis(), closeTo(4 * 5.7, 2));
    picker.peers().changeOthers(1);
    picker
        .peers()
        .onReport(
            new DemandReport(
                "edge-2",
                List.of(
                    new ReplicaDemand(
                        view.replica().id(), 30, 11_000, new ObservedWork(3_000, 60_000, 0, 0))),
                List.of()),
            now);
    PredictedService shared = costs.predict(view, cost, 5_500, now + 30 * MILLI_NANOS);
    assertThat(shared.firstEventMillis() - alone.firstEventMillis(), closeTo(200, 20));
    assertThat(shared.gapMillis(), greaterThan(alone.gapMillis() + 10));
    assertThat(shared.ageMillis(), is(30L));
  }

  /** Failure: nothing was observed yet. */
  @Test
  void nothingIsPredictedOfServiceThatWasNotObserved() {
    FleetCosts fresh = new FleetCosts(new PeerDemand());
    assertThat(
        fresh.predict(view("a"), new RequestCost(1_500, 100, 100), 1_500, now),
        is(PredictedService.UNKNOWN));
  }

  /** Failure: another instance tells of a slow replica that this one has never used. */
  @Test
  void paceThatAnotherInstanceObservedCounts() {
    ReplicaView told = view("a");
    for (int i = 0; i < 10; i++) {
      costs.onTold(told, new ObservedWork(0, 0, 170, 0), now);
      now += 100 * MILLI_NANOS;
    }
    assertThat(told.costs().pace().factor(now + 5_000 * MILLI_NANOS), greaterThan(1.3));
    assertThat(pick(List.of(told, view("b"), view("c")), 100, 0), not(told));
  }

  /** Load: a request that ends, is cut off, or generates far more than estimated. */
  @Test
  void workOfRequestIsCountedUntilItEnds() {
    ReplicaView view = view("a");
    TrackedRequest request = costs.onSent(view, new RequestCost(1_500, 100, 200), 1_500, now);
    assertThat(view.costs().work().outputLeft(), is(100.0));
    request.onEvents(10, now);
    assertThat(view.costs().work().outputLeft(), is(60.0));
    assertThat(view.costs().work().heldTokens(), is(1_600.0));
    request.onEvents(100, now);
    assertThat("more is expected", view.costs().work().outputLeft(), greaterThan(0.0));
    request.onEnded();
    request.onEnded();
    assertThat(view.costs().work().outputLeft(), lessThan(1e-6));
    assertThat(view.costs().work().heldTokens(), lessThan(1e-6));
  }

  /** Load: requests without a prompt at replicas on a shared host. */
  @Test
  void requestsWithoutPromptAvoidSlowedHosts() {
    ReplicaView slowed = view("a");
    ReplicaView usual = view("b");
    slowed.costs().pace().onStated(250, now);
    assertThat(picker.pick(List.of(slowed, usual), now).orElseThrow(), is(usual));
  }
}

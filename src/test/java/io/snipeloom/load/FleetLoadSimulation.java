package io.snipeloom.load;

import io.snipeloom.cost.RequestCost;
import io.snipeloom.cost.RequestKind;
import io.snipeloom.routing.DemandReport;
import io.snipeloom.routing.EngineTraits;
import io.snipeloom.routing.LimitShares;
import io.snipeloom.routing.ObservedWork;
import io.snipeloom.routing.PeerDemand;
import io.snipeloom.routing.Prompt;
import io.snipeloom.routing.PromptPart;
import io.snipeloom.routing.Replica;
import io.snipeloom.routing.ReplicaDemand;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaPicker;
import io.snipeloom.routing.ReplicaState;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.routing.SentPrompt;
import io.snipeloom.routing.SoftwareVersion;
import io.snipeloom.routing.TrackedRequest;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Plays model requests through the pickers of many instances to replicas that process one prompt
 * after the other. Time is simulated and all randomness comes from a seed.
 *
 * <p>Each instance knows what its own requests and responses tell, and the reports of the others
 * once they have arrived.
 */
final class FleetLoadSimulation implements SimulatedEngine.Clock {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final long SECOND_NANOS = 1_000 * MILLI_NANOS;

  /** The time between two looks at the remaining work of the replicas. */
  private static final long SAMPLE_NANOS = 100 * MILLI_NANOS;

  /** The longest output that requests allow, by their mean output. */
  private static final double MAX_OUTPUT_FACTOR = 8;

  /** A kind of request: its rate at 42 replicas, its prompt and its output. */
  record Kind(
      double perSecond,
      long sharedTokens,
      long ownTokens,
      long targetMillis,
      long targetGapMillis,
      Output output) {

    Kind(double perSecond, long sharedTokens, long ownTokens, long targetMillis) {
      this(perSecond, sharedTokens, ownTokens, targetMillis, 0, Output.UNKNOWN);
    }
  }

  /**
   * The output of a kind of request, in tokens.
   *
   * @param mean the mean in the first half
   * @param laterMean the mean in the second half
   * @param deviation the standard deviation of its logarithm
   * @param hintFactor the factor by which the caller states too much; 0 if it states nothing
   */
  record Output(double mean, double laterMean, double deviation, double hintFactor) {
    static final Output UNKNOWN = new Output(100, 100, 0, 0);

    static Output of(double mean) {
      return new Output(mean, mean, 0.8, 0);
    }
  }

  static final List<Kind> KINDS =
      List.of(
          new Kind(58.7, 13_300, 3_720, 614),
          new Kind(46.6, 6_300, 2_890, 510),
          new Kind(100, 350, 1_110, 406));

  /** What instances learn of the cost of requests. */
  enum Learning {
    /** Nothing: a replica is chosen by the tokens of prompts. */
    NOTHING,
    /** What they see and are told. */
    ALL,
    /** The same, but the first instance begins when half of the time is over. */
    FIRST_LATE
  }

  /**
   * How a fleet is played.
   *
   * @param batch the engines; null for those that process one prompt after the other
   */
  record Setup(
      int instances,
      int replicas,
      double load,
      long reportIntervalMillis,
      List<Kind> kinds,
      BatchEngine.Traits batch,
      List<Double> speeds,
      Learning learning) {

    Setup(int instances, int replicas, double load, long reportIntervalMillis) {
      this(
          instances,
          replicas,
          load,
          reportIntervalMillis,
          KINDS,
          null,
          List.of(1.0),
          Learning.NOTHING);
    }

    Setup withLearning(Learning other) {
      return new Setup(
          instances, replicas, load, reportIntervalMillis, kinds, batch, speeds, other);
    }

    EngineTraits traits() {
      return batch == null ? SerialEngine.TRAITS : batch.engine();
    }
  }

  /**
   * What came of the requests.
   *
   * @param inTime the share whose first event came within the target
   * @param medianMillis the median time until the first event
   * @param p90Millis the time within which nine in ten first events came
   * @param p99Millis the time within which 99 in 100 first events came
   * @param readTokensShare the share of the prompt tokens that replicas processed
   * @param recomputedShare the share of the prompt tokens that a replica processed although another
   *     had them cached
   * @param inTimeByKind the share in time of each kind
   * @param lateGaps the share of requests with a longer pause than expected
   * @param imbalance the standard deviation of the remaining work of replicas by its mean
   * @param sentByReplica the requests that each replica received
   * @param firstInstanceInTime the share in time of the requests of the first instance in the
   *     second half
   */
  record Result(
      double inTime,
      long medianMillis,
      long p90Millis,
      long p99Millis,
      double readTokensShare,
      double recomputedShare,
      List<Double> inTimeByKind,
      double lateGaps,
      double imbalance,
      List<Integer> sentByReplica,
      double firstInstanceInTime) {}

  private final Setup setup;
  private final Random random;
  private final List<Instance> instances = new ArrayList<>();
  private final List<SimulatedEngine> engines = new ArrayList<>();
  private final List<List<PromptPart>> documents = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos));
  private final List<Double> lateness = new ArrayList<>();
  private final List<Long> firstMillis = new ArrayList<>();
  private final List<List<Double>> latenessByKind = new ArrayList<>();
  private final List<Double> lateGaps = new ArrayList<>();
  private final List<Double> imbalances = new ArrayList<>();
  private final List<Double> firstInstanceLateness = new ArrayList<>();
  private final int[] sentByReplica;
  private final Random outputs;
  private long halfNanos;
  private long readTokens;
  private long recomputedTokens;
  private long promptTokens;
  private long now = SECOND_NANOS;
  private int nextPart;

  private record Event(long atNanos, Runnable action) {}

  private FleetLoadSimulation(Setup setup, long seed) {
    this.setup = setup;
    this.random = new Random(seed);
    for (int i = 0; i < setup.replicas(); i++) {
      engines.add(engine(i, seed));
    }
    this.sentByReplica = new int[setup.replicas()];
    this.outputs = new Random(seed + 1);
    setup.kinds().forEach(kind -> latenessByKind.add(new ArrayList<>()));
    for (int i = 0; i < setup.instances(); i++) {
      instances.add(new Instance("edge-" + i));
    }
  }

  private SimulatedEngine engine(int index, long seed) {
    double speed = setup.speeds().get(index % setup.speeds().size());
    return setup.batch() == null
        ? new SerialEngine(this)
        : new BatchEngine(setup.batch(), this, speed, seed * 1_000 + index);
  }

  static Result play(Setup setup, long seed, int seconds) {
    return new FleetLoadSimulation(setup, seed).run(seconds);
  }

  private Result run(int seconds) {
    long end = now + seconds * SECOND_NANOS;
    halfNanos = now + seconds * SECOND_NANOS / 2;
    at(now + SAMPLE_NANOS, () -> sampleImbalance(end));
    setup.kinds().forEach(kind -> scheduleArrival(kind, end));
    if (setup.reportIntervalMillis() > 0) {
      instances.forEach(instance -> scheduleReport(instance, end));
    }
    while (!events.isEmpty()) {
      Event next = events.poll();
      now = next.atNanos();
      next.action().run();
    }
    firstMillis.sort(null);
    int count = firstMillis.size();
    return new Result(
        mean(lateness),
        firstMillis.get(count / 2),
        firstMillis.get(count * 9 / 10),
        firstMillis.get(count * 99 / 100),
        (double) readTokens / promptTokens,
        (double) recomputedTokens / promptTokens,
        latenessByKind.stream().map(FleetLoadSimulation::mean).toList(),
        mean(lateGaps),
        mean(imbalances),
        Arrays.stream(sentByReplica).boxed().toList(),
        mean(firstInstanceLateness));
  }

  private static double mean(List<Double> values) {
    return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }

  private void sampleImbalance(long end) {
    double[] work = engines.stream().mapToDouble(SimulatedEngine::remainingMillis).toArray();
    double mean = Arrays.stream(work).average().orElse(0);
    double variance = Arrays.stream(work).map(one -> (one - mean) * (one - mean)).sum();
    if (mean > 0) {
      imbalances.add(Math.sqrt(variance / work.length) / mean);
    }
    if (now + SAMPLE_NANOS < end) {
      at(now + SAMPLE_NANOS, () -> sampleImbalance(end));
    }
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public void at(long atNanos, Runnable action) {
    events.add(new Event(atNanos, action));
  }

  private void scheduleArrival(Kind kind, long end) {
    double rate = kind.perSecond() * setup.load() * setup.replicas() / 42;
    long next = now + (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND_NANOS);
    if (next < end) {
      at(
          next,
          () -> {
            arrive(kind);
            scheduleArrival(kind, end);
          });
    }
  }

  private void arrive(Kind kind) {
    int index = (int) (Math.pow(random.nextDouble(), 1.3) * instances.size());
    boolean tooEarly = setup.learning() == Learning.FIRST_LATE && now < halfNanos;
    instances.get(index == 0 && tooEarly ? instances.size() - 1 : index).send(kind, prompt(kind));
  }

  private int output(Kind kind) {
    double mean = now < halfNanos ? kind.output().mean() : kind.output().laterMean();
    double deviation = kind.output().deviation();
    double drawn = Math.exp(deviation * outputs.nextGaussian() - deviation * deviation / 2);
    return (int) Math.max(1, Math.min(MAX_OUTPUT_FACTOR * mean, mean * drawn));
  }

  /** A prompt that shares a document with earlier ones, half of the time with a recent one. */
  private Prompt prompt(Kind kind) {
    List<PromptPart> parts = new ArrayList<>();
    if (kind.sharedTokens() < 1_000) {
      parts.add(new PromptPart("system-" + random.nextInt(3), kind.sharedTokens()));
    } else {
      parts.addAll(document(kind));
    }
    parts.add(new PromptPart("own-" + nextPart++, kind.ownTokens()));
    return new Prompt(kind.sharedTokens() + kind.ownTokens(), maxOutput(kind), parts);
  }

  private static long maxOutput(Kind kind) {
    return (long) (Math.max(kind.output().mean(), kind.output().laterMean()) * MAX_OUTPUT_FACTOR);
  }

  private List<PromptPart> document(Kind kind) {
    int recent = Math.min(documents.size(), (int) (800 * setup.replicas() / 42.0));
    if (recent > 0 && random.nextInt(10) < 5) {
      List<PromptPart> found = documents.get(documents.size() - 1 - random.nextInt(recent));
      if (found.stream().mapToLong(PromptPart::tokens).sum() == kind.sharedTokens()) {
        return found;
      }
    }
    long head = kind.sharedTokens() / 4;
    String group = "group-" + kind.sharedTokens() + "-" + random.nextInt(40);
    List<PromptPart> fresh =
        List.of(
            new PromptPart(group, head),
            new PromptPart("document-" + nextPart++, kind.sharedTokens() - head));
    documents.add(fresh);
    return fresh;
  }

  private void scheduleReport(Instance instance, long end) {
    long interval = setup.reportIntervalMillis() * MILLI_NANOS;
    long first = now + (long) (random.nextDouble() * interval);
    at(first, () -> report(instance, interval, end));
  }

  private void report(Instance instance, long interval, long end) {
    DemandReport report = instance.takeReport();
    for (Instance other : instances) {
      if (other != instance) {
        at(now + 2 * MILLI_NANOS, () -> other.receive(report));
      }
    }
    if (now + interval < end) {
      at(now + interval, () -> report(instance, interval, end));
    }
  }

  /** Counts the tokens that a replica processes, and those that another one has cached. */
  private void countTokens(SimulatedEngine engine, Prompt prompt) {
    promptTokens += prompt.inputTokens();
    long uncached = prompt.inputTokens();
    boolean cached = true;
    for (PromptPart part : prompt.parts()) {
      cached &= engine.isCached(part.id());
      if (cached) {
        uncached -= part.tokens();
      } else if (engines.stream().anyMatch(other -> other.isCached(part.id()))) {
        recomputedTokens += part.tokens();
      }
    }
    readTokens += uncached;
  }

  private void onFirstEvent(Kind kind, boolean first, long millis) {
    firstMillis.add(millis);
    double inTime = millis <= kind.targetMillis() ? 1.0 : 0.0;
    lateness.add(inTime);
    latenessByKind.get(setup.kinds().indexOf(kind)).add(inTime);
    if (first && now >= halfNanos) {
      firstInstanceLateness.add(inTime);
    }
  }

  /** One instance with its own picker and views. */
  private final class Instance {
    private final String name;
    private final PeerDemand peers = new PeerDemand();
    private final ReplicaPicker picker;
    private final List<ReplicaView> views = new ArrayList<>();
    private final List<SentPrompt> sent = new ArrayList<>();

    Instance(String name) {
      this.name = name;
      this.picker =
          new ReplicaPicker(
              "zone", new LimitShares(name, () -> 0), peers, new Random(random.nextLong()));
      peers.changeOthers(setup.instances() - 1);
      for (int i = 0; i < setup.replicas(); i++) {
        views.add(ReplicaView.of(replica(i), setup.traits()));
      }
    }

    private boolean learns() {
      return setup.learning() != Learning.NOTHING;
    }

    void send(Kind kind, Prompt prompt) {
      int output = output(kind);
      RequestKind known = requestKind(kind, prompt, output);
      RequestCost cost =
          learns()
              ? picker.costs().estimator().estimate(known)
              : new RequestCost(prompt.inputTokens(), 0, 0);
      ReplicaView view =
          picker.pick(views, prompt, cost, kind.targetGapMillis(), now).orElseThrow();
      long uncached = picker.uncachedTokens(view, views, prompt, now);
      picker.recordPrompt(prompt, now);
      view.prefixCache().recordPrompt(prompt.parts());
      final Optional<TrackedRequest> tracked =
          learns()
              ? Optional.of(picker.costs().onSent(view, cost, uncached, now))
              : Optional.empty();
      view.load().onSent(uncached);
      sent.add(new SentPrompt(view.replica().id(), prompt.sharedParts()));
      int index = views.indexOf(view);
      sentByReplica[index]++;
      SimulatedEngine engine = engines.get(index);
      countTokens(engine, prompt);
      Stream stream = new Stream(this, kind, view, engine, uncached, tracked, now);
      engine.submit(
          prompt,
          output,
          stream::onEvents,
          () -> {
            stream.onEnd();
            if (learns()) {
              picker.costs().estimator().record(known, output);
            }
          });
    }

    private RequestKind requestKind(Kind kind, Prompt prompt, int output) {
      double factor = kind.output().hintFactor();
      long hint = Math.max(1, (long) (output * factor * Math.exp(0.5 * outputs.nextGaussian())));
      return new RequestKind(
          "route-" + kind.sharedTokens(),
          "customer-" + factor,
          prompt.inputTokens(),
          prompt.maxOutputTokens(),
          factor == 0 ? OptionalLong.empty() : OptionalLong.of(hint));
    }

    DemandReport takeReport() {
      List<ReplicaDemand> demands = new ArrayList<>();
      for (ReplicaView view : views) {
        ObservedWork work = learns() ? picker.costs().takeObserved(view, now) : ObservedWork.NONE;
        if (view.load().inFlight() > 0 || work.isObserved()) {
          demands.add(
              new ReplicaDemand(
                  view.replica().id(),
                  view.load().inFlight(),
                  view.load().pendingPrefillTokens(),
                  work));
        }
      }
      DemandReport report = new DemandReport(name, demands, sent);
      sent.clear();
      return report;
    }

    void receive(DemandReport report) {
      peers.onReport(report, now);
      for (ReplicaDemand demand : report.demands()) {
        picker.costs().onTold(views.get(indexOf(demand.replica())), demand.work(), now);
      }
      for (SentPrompt prompt : report.prompts()) {
        views.get(indexOf(prompt.replica())).prefixCache().recordPrompt(prompt.parts());
      }
    }
  }

  /** The stream of one request. */
  private final class Stream {
    private final Instance instance;
    private final Kind kind;
    private final ReplicaView view;
    private final SimulatedEngine engine;
    private final long uncached;
    private final Optional<TrackedRequest> tracked;
    private final long sentNanos;
    private long lastNanos;
    private long longestGapNanos;

    Stream(
        Instance instance,
        Kind kind,
        ReplicaView view,
        SimulatedEngine engine,
        long uncached,
        Optional<TrackedRequest> tracked,
        long sentNanos) {
      this.instance = instance;
      this.kind = kind;
      this.view = view;
      this.engine = engine;
      this.uncached = uncached;
      this.tracked = tracked;
      this.sentNanos = sentNanos;
    }

    void onEvents(int events) {
      tracked.ifPresent(request -> request.onEvents(events, now));
      if (lastNanos == 0) {
        onFirstEvent(kind, instance == instances.get(0), (now - sentNanos) / MILLI_NANOS);
        view.load().onPrefillDone(uncached);
        view.load().onReport(engine.running(), engine.waiting(), now);
        if (instance.learns() && setup.batch() != null && setup.batch().slowShare() > 0) {
          view.costs().pace().onStated(engine.pacePercent(), now);
        }
      } else {
        longestGapNanos = Math.max(longestGapNanos, now - lastNanos);
      }
      lastNanos = now;
    }

    void onEnd() {
      tracked.ifPresent(TrackedRequest::onEnded);
      view.load().onEnded();
      if (kind.targetGapMillis() > 0) {
        lateGaps.add(longestGapNanos > kind.targetGapMillis() * MILLI_NANOS ? 1.0 : 0.0);
      }
    }
  }

  private static int indexOf(ReplicaId id) {
    return Integer.parseInt(id.value().substring("i-".length()));
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
}

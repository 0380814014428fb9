package io.snipeloom.load;

import io.snipeloom.routing.DemandReport;
import io.snipeloom.routing.EngineTraits;
import io.snipeloom.routing.LimitShares;
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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Plays model requests through the pickers of many instances to replicas that process one prompt
 * after the other. Time is simulated and all randomness comes from a seed.
 *
 * <p>Each instance knows what its own requests and responses tell, and the reports of the others
 * once they have arrived.
 */
final class FleetLoadSimulation {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final long SECOND_NANOS = 1_000 * MILLI_NANOS;
  private static final EngineTraits TRAITS = new EngineTraits(64, 400_000, 3);
  private static final double TOKENS_PER_MILLI = 63.9;

  /** Decoding of other requests takes this share of the time of an engine. */
  private static final double DECODE_SHARE = 0.25;

  private static final long STEP_NANOS = 8 * MILLI_NANOS;

  /** How long a request stays at a replica after its first event. */
  private static final long DECODE_NANOS = 700 * MILLI_NANOS;

  /** A kind of request: its rate at 42 replicas and its prompt. */
  record Kind(double perSecond, long sharedTokens, long ownTokens, long targetMillis) {}

  static final List<Kind> KINDS =
      List.of(
          new Kind(58.7, 13_300, 3_720, 614),
          new Kind(46.6, 6_300, 2_890, 510),
          new Kind(100, 350, 1_110, 406));

  /** How a fleet is played. */
  record Setup(int instances, int replicas, double load, long reportIntervalMillis) {}

  /**
   * What came of the requests.
   *
   * @param inTime the share whose first event came within the target
   * @param medianMillis the median time until the first event
   * @param p90Millis the time within which nine in ten first events came
   * @param readTokensShare the share of the prompt tokens that replicas processed
   * @param recomputedShare the share of the prompt tokens that a replica processed although another
   *     had them cached
   */
  record Result(
      double inTime,
      long medianMillis,
      long p90Millis,
      double readTokensShare,
      double recomputedShare) {}

  private final Setup setup;
  private final Random random;
  private final List<Instance> instances = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<List<PromptPart>> documents = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos));
  private final List<Double> lateness = new ArrayList<>();
  private final List<Long> firstMillis = new ArrayList<>();
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
      engines.add(new Engine());
    }
    for (int i = 0; i < setup.instances(); i++) {
      instances.add(new Instance("edge-" + i));
    }
  }

  static Result play(Setup setup, long seed, int seconds) {
    return new FleetLoadSimulation(setup, seed).run(seconds);
  }

  private Result run(int seconds) {
    long end = now + seconds * SECOND_NANOS;
    KINDS.forEach(kind -> scheduleArrival(kind, end));
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
        lateness.stream().mapToDouble(Double::doubleValue).average().orElse(0),
        firstMillis.get(count / 2),
        firstMillis.get(count * 9 / 10),
        (double) readTokens / promptTokens,
        (double) recomputedTokens / promptTokens);
  }

  private void at(long atNanos, Runnable action) {
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
    instances.get(index).send(kind, prompt(kind));
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
    return new Prompt(kind.sharedTokens() + kind.ownTokens(), 100, parts);
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
        views.add(ReplicaView.of(replica(i), TRAITS));
      }
    }

    void send(Kind kind, Prompt prompt) {
      ReplicaView view = picker.pick(views, prompt, now).orElseThrow();
      long uncached = picker.uncachedTokens(view, views, prompt, now);
      picker.recordPrompt(prompt, now);
      view.prefixCache().recordPrompt(prompt.parts());
      view.load().onSent(uncached);
      sent.add(new SentPrompt(view.replica().id(), prompt.sharedParts()));
      Engine engine = engines.get(views.indexOf(view));
      long sentNanos = now;
      long firstNanos = engine.process(prompt, now);
      at(
          firstNanos,
          () -> {
            long millis = (now - sentNanos) / MILLI_NANOS;
            firstMillis.add(millis);
            lateness.add(millis <= kind.targetMillis() ? 1.0 : 0.0);
            view.load().onPrefillDone(uncached);
            view.load().onReport(engine.running, engine.waiting(now), now);
          });
      at(
          firstNanos + DECODE_NANOS,
          () -> {
            view.load().onEnded();
            engine.running--;
          });
    }

    DemandReport takeReport() {
      List<ReplicaDemand> demands = new ArrayList<>();
      for (ReplicaView view : views) {
        if (view.load().inFlight() > 0) {
          demands.add(
              new ReplicaDemand(
                  view.replica().id(), view.load().inFlight(), view.load().pendingPrefillTokens()));
        }
      }
      DemandReport report = new DemandReport(name, demands, sent);
      sent.clear();
      return report;
    }

    void receive(DemandReport report) {
      peers.onReport(report, now);
      for (SentPrompt prompt : report.prompts()) {
        for (ReplicaView view : views) {
          if (view.replica().id().equals(prompt.replica())) {
            view.prefixCache().recordPrompt(prompt.parts());
          }
        }
      }
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

  private boolean isCachedAnywhere(PromptPart part) {
    return engines.stream().anyMatch(engine -> engine.cached.containsKey(part.id()));
  }

  /** An engine that processes prompts in the order of their arrival. */
  private final class Engine {
    private final Map<String, Long> cached = new LinkedHashMap<>(64, 0.75f, true);
    private long cachedTokens;
    private long busyUntilNanos;
    private int running;
    private final List<Long> starts = new ArrayList<>();

    long process(Prompt prompt, long atNanos) {
      long uncached = uncached(prompt);
      readTokens += uncached;
      promptTokens += prompt.inputTokens();
      long start = Math.max(atNanos, busyUntilNanos);
      starts.add(start);
      double millis = uncached / TOKENS_PER_MILLI / (1 - DECODE_SHARE);
      busyUntilNanos = start + (long) (millis * MILLI_NANOS);
      running++;
      return busyUntilNanos + STEP_NANOS;
    }

    int waiting(long atNanos) {
      starts.removeIf(start -> start <= atNanos);
      return starts.size();
    }

    private long uncached(Prompt prompt) {
      long uncached = prompt.inputTokens();
      boolean prefixCached = true;
      for (PromptPart part : prompt.parts()) {
        prefixCached &= cached.containsKey(part.id());
        if (!prefixCached && isCachedAnywhere(part)) {
          recomputedTokens += part.tokens();
        }
        if (prefixCached) {
          uncached -= part.tokens();
        }
        Long previous = cached.put(part.id(), part.tokens());
        cachedTokens += part.tokens() - (previous == null ? 0 : previous);
      }
      var eldest = cached.entrySet().iterator();
      while (cachedTokens > TRAITS.cacheTokens() * 0.85 && eldest.hasNext()) {
        cachedTokens -= eldest.next().getValue();
        eldest.remove();
      }
      return uncached;
    }
  }
}

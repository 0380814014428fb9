package io.snipeloom.load;

import io.snipeloom.admission.AdmissionControl;
import io.snipeloom.admission.AdmissionRequest;
import io.snipeloom.admission.AdmissionReview;
import io.snipeloom.admission.Predictions;
import io.snipeloom.admission.ServiceOutlook;
import io.snipeloom.cost.PredictedService;
import io.snipeloom.cost.RequestCost;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Plays requests of several kinds, customers and sizes through the admission of many instances to
 * replicas with limited memory. Time is simulated and all randomness comes from a seed.
 *
 * <p>A replica admits waiting requests by urgency while they fit into its memory, processes their
 * prompts one after the other and then generates. An instance knows what it sent itself, and the
 * replicas as they were some time ago. It sends to the best of a few random replicas, so that what
 * is seen comes from the admission and not from instances that choose alike.
 */
final class AdmissionLoad {
  static final double TOKENS_PER_MILLI = 61.8;
  private static final double GAP_MILLIS = 70;
  private static final long MEMORY_TOKENS = 387_276;
  private static final int SLOTS = 64;
  private static final int MAX_REPLICAS = 128;
  private static final double SNAPSHOT_MILLIS = 50;
  private static final double SHARE_REPORT_MILLIS = 100;
  private static final int CHOICES = 3;
  private static final double CACHED_SHARE = 0.5;
  private static final double SIZE_SPREAD = 0.7;
  private static final int CUSTOMERS = 24;
  private static final int HOT_CUSTOMER = 2;

  /** A kind of request: its share of the requests, prompt, generation, urgency and times. */
  record Kind(
      String name,
      double share,
      long sharedTokens,
      long ownTokens,
      double generateMillis,
      int priority,
      long targetMillis,
      long limitMillis) {}

  static final List<Kind> KINDS =
      List.of(
          new Kind("explanation", 0.47, 350, 1_110, 700, 0, 511, 8_179),
          new Kind("passage", 0.23, 6_300, 2_890, 300, 1, 619, 4_128),
          new Kind("report", 0.30, 13_300, 3_720, 500, 2, 1_527, 8_145));

  /** The load at a moment, as a multiple of what replicas can process. */
  interface Load {
    double at(double seconds, Kind kind, int customer);
  }

  /**
   * How a fleet is played.
   *
   * @param ageMillis the age of what an instance knows of the replicas beyond its own requests
   * @param predictionFactor what predictions are multiplied by
   * @param slowShare the share of the replicas that work at a third of the speed from 2 s on
   * @param cutOff whether one instance learns nothing of the replicas and of the others
   */
  record Setup(
      int instances,
      double ageMillis,
      Load load,
      double predictionFactor,
      double slowShare,
      boolean cutOff,
      Gate gate) {}

  /** Which parts of the admission are in place. */
  enum Gate {
    NONE,
    ADMISSION,
    WITHOUT_URGENCY,
    WITHOUT_SHARES,
    /** Shares by what each instance receives itself. */
    OWN_SHARES,
    /** Everybody comes back after 150 ms. */
    FIXED_RETRY,
    /** All less urgent requests are refused while urgent ones would be late. */
    THRESHOLD;

    AdmissionReview review(
        AdmissionControl control, AdmissionRequest request, Predictions predictions, long now) {
      return switch (this) {
        case NONE, THRESHOLD ->
            control.review(request, (cost, tokens) -> ServiceOutlook.of(List.of()), now);
        default -> control.review(request, predictions, now);
      };
    }
  }

  /** A request of a caller over all of its attempts, and what became of it. */
  static final class Call {
    final Kind kind;
    final int customer;
    final double size;
    final long promptTokens;
    final long uncachedTokens;
    final double startMillis;
    int attempts;
    boolean refused;
    double firstMillis = Double.MAX_VALUE;
    double endMillis = Double.MAX_VALUE;
    int instance;

    Call(Kind kind, int customer, double size, boolean cached, double startMillis) {
      this.kind = kind;
      this.customer = customer;
      this.size = size;
      this.promptTokens = kind.sharedTokens() + (long) (kind.ownTokens() * size);
      this.uncachedTokens = (long) (kind.ownTokens() * size) + (cached ? 0 : kind.sharedTokens());
      this.startMillis = startMillis;
    }

    boolean isServed() {
      return endMillis - startMillis <= kind.limitMillis();
    }

    boolean isInTime() {
      return isServed() && firstMillis - startMillis <= kind.targetMillis();
    }

    private double leftMillis(double now) {
      return startMillis + kind.limitMillis() - now;
    }

    private double patienceMillis() {
      return Math.max(2_000, 4 * kind.targetMillis());
    }
  }

  private record Event(double atMillis, long order, Runnable action) {}

  private record Sent(double atMillis, int replica, Call call) {}

  private record Snapshot(double atMillis, long[] pending, long[] memory, int[] running) {}

  private final Setup setup;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::order));
  private final List<Replica> replicas = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private final List<Call> calls = new ArrayList<>();
  private final double meanTokens;
  private double now;
  private double untilMillis;
  private long order;

  private AdmissionLoad(Setup setup, long seed) {
    this.setup = setup;
    this.random = new Random(seed);
    int count = Math.max(2, Math.min(MAX_REPLICAS, setup.instances() * 32 / 25));
    for (int i = 0; i < count; i++) {
      replicas.add(new Replica(i < count * setup.slowShare()));
    }
    for (int i = 0; i < setup.instances(); i++) {
      instances.add(new Instance(i));
    }
    meanTokens =
        KINDS.stream()
            .mapToDouble(
                kind ->
                    kind.share() * (kind.ownTokens() + kind.sharedTokens() * (1 - CACHED_SHARE)))
            .sum();
  }

  /** Plays some seconds and returns the calls of all callers. */
  static AdmissionLoadResult play(Setup setup, long seed, int seconds) {
    return new AdmissionLoad(setup, seed).run(seconds);
  }

  private AdmissionLoadResult run(int seconds) {
    untilMillis = seconds * 1_000.0;
    for (Kind kind : KINDS) {
      for (int customer = 0; customer < CUSTOMERS; customer++) {
        scheduleArrival(kind, customer);
      }
    }
    at(0, this::takeSnapshot);
    at(SHARE_REPORT_MILLIS, this::reportShares);
    while (!events.isEmpty()) {
      Event next = events.poll();
      now = next.atMillis();
      next.action().run();
    }
    return new AdmissionLoadResult(calls);
  }

  private void at(double atMillis, Runnable action) {
    events.add(new Event(atMillis, order++, action));
  }

  /** Arrivals at the highest rate, of which the load at their moment keeps a part. */
  private void scheduleArrival(Kind kind, int customer) {
    double highest = 12;
    double capacity = replicas.size() * TOKENS_PER_MILLI / meanTokens;
    double perMilli = capacity * kind.share() * customerShare(customer) * highest;
    double next = now - Math.log(1 - random.nextDouble()) / perMilli;
    if (next >= untilMillis) {
      return;
    }
    at(
        next,
        () -> {
          if (random.nextDouble() * highest < setup.load().at(now / 1_000, kind, customer)) {
            double size =
                Math.exp(random.nextGaussian() * SIZE_SPREAD - SIZE_SPREAD * SIZE_SPREAD / 2);
            Call call = new Call(kind, customer, size, random.nextDouble() < CACHED_SHARE, now);
            calls.add(call);
            attempt(call);
          }
          scheduleArrival(kind, customer);
        });
  }

  private static double customerShare(int customer) {
    double total = 0;
    for (int i = 0; i < CUSTOMERS; i++) {
      total += 1.0 / (i + 3);
    }
    return 1.0 / (customer + 3) / total;
  }

  static boolean isHot(int customer) {
    return customer == HOT_CUSTOMER;
  }

  private void attempt(Call call) {
    call.attempts++;
    call.instance = (int) (Math.pow(random.nextDouble(), 1.3) * instances.size());
    instances.get(call.instance).receive(call);
  }

  private void takeSnapshot() {
    int count = replicas.size();
    Snapshot snapshot = new Snapshot(now, new long[count], new long[count], new int[count]);
    for (int i = 0; i < count; i++) {
      Replica replica = replicas.get(i);
      snapshot.pending()[i] = replica.pendingTokens;
      snapshot.memory()[i] = replica.usedTokens + replica.waitingTokens;
      snapshot.running()[i] = replica.running;
    }
    snapshots.addLast(snapshot);
    while (snapshots.size() > 1 && snapshots.peekFirst().atMillis() < now - setup.ageMillis()) {
      snapshots.removeFirst();
    }
    if (now < untilMillis) {
      at(now + SNAPSHOT_MILLIS, this::takeSnapshot);
    }
  }

  private void reportShares() {
    if (setup.gate() == Gate.OWN_SHARES) {
      return;
    }
    for (Instance instance : instances) {
      for (Call call : instance.unreported) {
        for (Instance other : instances) {
          if (other != instance && !other.isCutOff()) {
            other.control.onAskedElsewhere(
                call.kind.name(), "customer-" + call.customer, 1, (long) (now * 1e6));
          }
        }
      }
      instance.unreported.clear();
    }
    if (now < untilMillis) {
      at(now + SHARE_REPORT_MILLIS, this::reportShares);
    }
  }

  /** One instance with its own admission. */
  private final class Instance {
    private final int index;
    private final AdmissionControl control = new AdmissionControl(new Random(random.nextLong()));
    private final Deque<Sent> sent = new ArrayDeque<>();
    private final List<Call> unreported = new ArrayList<>();

    Instance(int index) {
      this.index = index;
    }

    boolean isCutOff() {
      return setup.cutOff() && index == 0;
    }

    void receive(Call call) {
      unreported.add(call);
      while (!sent.isEmpty() && sent.peekFirst().atMillis() < snapshots.peekFirst().atMillis()) {
        sent.removeFirst();
      }
      long left = (long) call.leftMillis(now);
      boolean urgency = setup.gate() != Gate.WITHOUT_URGENCY;
      boolean shares = setup.gate() != Gate.WITHOUT_SHARES;
      AdmissionRequest request =
          new AdmissionRequest(
              "llm",
              call.kind.name(),
              shares ? "customer-" + call.customer : "",
              urgency ? call.kind.priority() : 0,
              call.kind.targetMillis(),
              600,
              left,
              new RequestCost(call.promptTokens, 100, 200),
              call.uncachedTokens);
      AdmissionReview review =
          setup.gate().review(control, request, this::outlook, (long) (now * 1e6));
      boolean refusedByThreshold = setup.gate() == Gate.THRESHOLD && isAboveThreshold(call.kind);
      if (!review.decision().admitted() || refusedByThreshold) {
        boolean fixed = refusedByThreshold || setup.gate() == Gate.FIXED_RETRY;
        refuse(call, fixed ? 150 : review.decision().retryMillis());
        return;
      }
      call.refused = false;
      send(call, review);
    }

    private boolean isAboveThreshold(Kind kind) {
      return KINDS.stream()
          .filter(other -> other.priority() < kind.priority())
          .anyMatch(
              other -> {
                List<PredictedService> sorted = predictions(other.ownTokens());
                sorted.sort(Comparator.comparingDouble(PredictedService::firstEventMillis));
                return sorted.get(sorted.size() / 4).firstEventMillis() > other.targetMillis();
              });
    }

    private void refuse(Call call, long retryMillis) {
      call.refused = true;
      double wait = Math.min((double) retryMillis, call.leftMillis(now) / 3);
      if (call.attempts < 2) {
        at(now + wait, () -> attempt(call));
      }
    }

    private void send(Call call, AdmissionReview review) {
      List<PredictedService> predicted = predictions(call.uncachedTokens);
      int best = random.nextInt(predicted.size());
      for (int i = 1; i < CHOICES; i++) {
        int other = random.nextInt(predicted.size());
        if (predicted.get(other).firstEventMillis() < predicted.get(best).firstEventMillis()) {
          best = other;
        }
      }
      sent.addLast(new Sent(now, best, call));
      double sentMillis = now;
      replicas
          .get(best)
          .submit(call, () -> control.onFirstEvent(call.kind.name(), review, now - sentMillis));
    }

    private ServiceOutlook outlook(RequestCost cost, long uncachedTokens) {
      return ServiceOutlook.of(predictions(uncachedTokens));
    }

    private List<PredictedService> predictions(long uncachedTokens) {
      Snapshot seen = snapshots.peekFirst();
      long[] pending = isCutOff() ? new long[replicas.size()] : seen.pending().clone();
      long[] memory = isCutOff() ? new long[replicas.size()] : seen.memory().clone();
      for (Sent own : sent) {
        pending[own.replica()] += own.call().uncachedTokens;
        memory[own.replica()] += own.call().promptTokens;
      }
      List<PredictedService> predicted = new ArrayList<>();
      for (int i = 0; i < replicas.size(); i++) {
        double pace = replicas.get(i).pace(now - setup.ageMillis());
        long over = Math.max(0, memory[i] - MEMORY_TOKENS);
        double first = (pending[i] + uncachedTokens) / TOKENS_PER_MILLI * pace;
        double wait = 700.0 * pace * over / MEMORY_TOKENS;
        double firstMillis = (first + wait + 8) * setup.predictionFactor();
        predicted.add(
            new PredictedService(
                !isCutOff(),
                firstMillis,
                firstMillis + 500,
                GAP_MILLIS,
                over == 0 && seen.running()[i] < SLOTS,
                (long) setup.ageMillis()));
      }
      return predicted;
    }
  }

  /** A replica that admits by urgency what fits and processes prompts one after the other. */
  private final class Replica {
    private final boolean slow;
    private final PriorityQueue<Job> waiting =
        new PriorityQueue<>(
            Comparator.<Job>comparingInt(job -> job.call.kind.priority())
                .thenComparingLong(job -> job.sequence));
    private final Deque<Job> prompts = new ArrayDeque<>();
    private long pendingTokens;
    private long waitingTokens;
    private long usedTokens;
    private int running;
    private boolean busy;

    private Replica(boolean slow) {
      this.slow = slow;
    }

    double pace(double atMillis) {
      return slow && atMillis >= 2_000 ? 3 : 1;
    }

    void submit(Call call, Runnable onFirst) {
      Job job = new Job(call, onFirst, order++);
      waiting.add(job);
      waitingTokens += call.promptTokens;
      pendingTokens += call.uncachedTokens;
      at(
          Math.min(now + call.patienceMillis(), now + call.leftMillis(now)),
          () -> giveUp(job, true));
      at(now + call.leftMillis(now), () -> giveUp(job, false));
      admit();
    }

    private void admit() {
      while (!waiting.isEmpty()
          && running < SLOTS
          && (running == 0 || usedTokens + waiting.peek().call.promptTokens <= MEMORY_TOKENS)) {
        Job job = waiting.poll();
        waitingTokens -= job.call.promptTokens;
        usedTokens += job.call.promptTokens;
        running++;
        job.admitted = true;
        prompts.addLast(job);
      }
      processNext();
    }

    private void processNext() {
      if (busy || prompts.isEmpty()) {
        return;
      }
      busy = true;
      Job job = prompts.pollFirst();
      at(now + job.call.uncachedTokens / TOKENS_PER_MILLI * pace(now), () -> onProcessed(job));
    }

    private void onProcessed(Job job) {
      busy = false;
      pendingTokens -= job.call.uncachedTokens;
      if (!job.ended) {
        job.begun = true;
        job.call.firstMillis = now;
        job.onFirst.run();
        at(now + job.call.kind.generateMillis() * pace(now), () -> onGenerated(job));
      }
      processNext();
    }

    private void onGenerated(Job job) {
      if (!job.ended) {
        job.call.endMillis = now;
        end(job);
      }
    }

    private void giveUp(Job job, boolean beforeFirst) {
      if (!job.ended && !(beforeFirst && job.begun)) {
        end(job);
      }
    }

    private void end(Job job) {
      job.ended = true;
      if (!job.admitted) {
        waiting.remove(job);
        waitingTokens -= job.call.promptTokens;
        pendingTokens -= job.call.uncachedTokens;
        return;
      }
      if (prompts.remove(job)) {
        pendingTokens -= job.call.uncachedTokens;
      }
      usedTokens -= job.call.promptTokens;
      running--;
      admit();
    }
  }

  private static final class Job {
    private final Call call;
    private final Runnable onFirst;
    private final long sequence;
    private boolean admitted;
    private boolean begun;
    private boolean ended;

    Job(Call call, Runnable onFirst, long sequence) {
      this.call = call;
      this.onFirst = onFirst;
      this.sequence = sequence;
    }
  }
}

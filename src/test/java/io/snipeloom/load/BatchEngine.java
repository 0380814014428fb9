package io.snipeloom.load;

import io.snipeloom.routing.EngineTraits;
import io.snipeloom.routing.Prompt;
import io.snipeloom.routing.PromptPart;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntConsumer;

/**
 * An engine that generates a token of each running request in a step and processes prompts in
 * chunks between the steps. When its memory runs out, the newest request is processed again from
 * its beginning. Time is simulated.
 */
final class BatchEngine implements SimulatedEngine {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final long NOISE_NANOS = 600 * MILLI_NANOS;
  private static final int SLOTS = 64;
  private static final int CHUNK_TOKENS = 1_024;
  private static final int TOKENS_PER_EVENT = 4;

  /**
   * The properties of an engine.
   *
   * @param stepMillis the time of a step
   * @param stepMillisPerRequest what each running request adds to it
   * @param tokensPerMilli the prompt tokens that are processed in a millisecond
   * @param capacityTokens the memory
   * @param slowShare the share of the time during which work takes longer
   * @param slowFactor how much longer it takes then
   */
  record Traits(
      double stepMillis,
      double stepMillisPerRequest,
      double tokensPerMilli,
      long capacityTokens,
      double slowShare,
      double slowFactor) {

    EngineTraits engine() {
      return new EngineTraits(SLOTS, capacityTokens, TOKENS_PER_EVENT);
    }
  }

  private static final class Job {
    private final long uncachedTokens;
    private final int outputTokens;
    private final IntConsumer onEvents;
    private final Runnable onEnd;
    private long toProcess;
    private int produced;

    Job(long uncachedTokens, int outputTokens, IntConsumer onEvents, Runnable onEnd) {
      this.uncachedTokens = uncachedTokens;
      this.outputTokens = outputTokens;
      this.onEvents = onEvents;
      this.onEnd = onEnd;
      this.toProcess = uncachedTokens;
    }

    long heldTokens() {
      return uncachedTokens + produced;
    }
  }

  private final Traits traits;
  private final Clock clock;
  private final double speed;
  private final Random noise;
  private final List<Job> waiting = new ArrayList<>();
  private final List<Job> running = new ArrayList<>();
  private final Map<String, Long> cached = new LinkedHashMap<>(64, 0.75f, true);
  private long cachedTokens;
  private boolean stepping;
  private long noiseSlot = -1;
  private double noiseFactor = 1;

  BatchEngine(Traits traits, Clock clock, double speed, long seed) {
    this.traits = traits;
    this.clock = clock;
    this.speed = speed;
    this.noise = new Random(seed);
  }

  @Override
  public void submit(Prompt prompt, int outputTokens, IntConsumer onEvents, Runnable onEnd) {
    waiting.add(new Job(uncached(prompt), outputTokens, onEvents, onEnd));
    if (!stepping) {
      stepping = true;
      step();
    }
  }

  @Override
  public int running() {
    return running.size();
  }

  @Override
  public int waiting() {
    return waiting.size();
  }

  @Override
  public boolean isCached(String part) {
    return cached.containsKey(part);
  }

  @Override
  public int pacePercent() {
    long slot = clock.now() / NOISE_NANOS;
    while (noiseSlot < slot) {
      noiseSlot = noiseSlot < 0 ? slot : noiseSlot + 1;
      noiseFactor = noise.nextDouble() < traits.slowShare() ? traits.slowFactor() : 1;
    }
    return (int) Math.round(noiseFactor * 100);
  }

  @Override
  public double remainingMillis() {
    double millis = 0;
    for (List<Job> jobs : List.of(running, waiting)) {
      for (Job job : jobs) {
        millis +=
            job.toProcess / traits.tokensPerMilli()
                + (job.outputTokens - job.produced) * traits.stepMillisPerRequest();
      }
    }
    return millis / speed;
  }

  private void step() {
    admit();
    if (running.isEmpty()) {
      stepping = false;
      return;
    }
    List<Job> generating = running.stream().filter(job -> job.toProcess == 0).toList();
    long chunk = processChunk();
    double millis =
        traits.stepMillis()
            + traits.stepMillisPerRequest() * generating.size()
            + chunk / traits.tokensPerMilli();
    double pace = pacePercent() / 100.0 / speed;
    clock.at(
        clock.now() + (long) (millis * pace * MILLI_NANOS),
        () -> {
          generating.forEach(this::generate);
          step();
        });
  }

  private void admit() {
    while (!waiting.isEmpty()
        && running.size() < SLOTS
        && heldTokens() + waiting.get(0).heldTokens() <= traits.capacityTokens()) {
      running.add(waiting.remove(0));
    }
    while (heldTokens() > traits.capacityTokens() && running.size() > 1) {
      Job newest = running.remove(running.size() - 1);
      newest.toProcess = newest.heldTokens();
      waiting.add(0, newest);
    }
  }

  private long heldTokens() {
    return running.stream().mapToLong(Job::heldTokens).sum();
  }

  private long processChunk() {
    long left = CHUNK_TOKENS;
    for (Job job : running) {
      long taken = Math.min(left, job.toProcess);
      job.toProcess -= taken;
      left -= taken;
    }
    return CHUNK_TOKENS - left;
  }

  private void generate(Job job) {
    job.produced++;
    boolean ended = job.produced >= job.outputTokens;
    if (ended || job.produced % TOKENS_PER_EVENT == 0) {
      job.onEvents.accept((job.produced + TOKENS_PER_EVENT - 1) / TOKENS_PER_EVENT);
    }
    if (ended) {
      running.remove(job);
      job.onEnd.run();
    }
  }

  private long uncached(Prompt prompt) {
    long uncached = prompt.inputTokens();
    boolean prefixCached = true;
    for (PromptPart part : prompt.parts()) {
      prefixCached &= cached.containsKey(part.id());
      if (prefixCached) {
        uncached -= part.tokens();
      }
      Long previous = cached.put(part.id(), part.tokens());
      cachedTokens += part.tokens() - (previous == null ? 0 : previous);
    }
    var eldest = cached.entrySet().iterator();
    while (cachedTokens > traits.capacityTokens() * 0.7 && eldest.hasNext()) {
      cachedTokens -= eldest.next().getValue();
      eldest.remove();
    }
    return uncached;
  }
}

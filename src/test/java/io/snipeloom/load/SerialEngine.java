package io.snipeloom.load;

import io.snipeloom.routing.EngineTraits;
import io.snipeloom.routing.Prompt;
import io.snipeloom.routing.PromptPart;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;

/** An engine that processes prompts in the order of their arrival. */
final class SerialEngine implements SimulatedEngine {
  static final EngineTraits TRAITS = new EngineTraits(64, 400_000, 3);
  private static final long MILLI_NANOS = 1_000_000L;
  private static final double TOKENS_PER_MILLI = 63.9;

  /** Decoding of other requests takes this share of the time of an engine. */
  private static final double DECODE_SHARE = 0.25;

  private static final long STEP_NANOS = 8 * MILLI_NANOS;

  /** How long a request stays at a replica after its first event. */
  private static final long DECODE_NANOS = 700 * MILLI_NANOS;

  private final Clock clock;
  private final Map<String, Long> cached = new LinkedHashMap<>(64, 0.75f, true);
  private long cachedTokens;
  private long busyUntilNanos;
  private int running;
  private final List<Long> starts = new ArrayList<>();

  SerialEngine(Clock clock) {
    this.clock = clock;
  }

  @Override
  public void submit(Prompt prompt, int outputTokens, IntConsumer onEvents, Runnable onEnd) {
    long start = Math.max(clock.now(), busyUntilNanos);
    starts.add(start);
    double millis = uncached(prompt) / TOKENS_PER_MILLI / (1 - DECODE_SHARE);
    busyUntilNanos = start + (long) (millis * MILLI_NANOS);
    running++;
    long firstNanos = busyUntilNanos + STEP_NANOS;
    clock.at(firstNanos, () -> onEvents.accept(1));
    clock.at(
        firstNanos + DECODE_NANOS,
        () -> {
          onEnd.run();
          running--;
        });
  }

  @Override
  public int running() {
    return running;
  }

  @Override
  public int waiting() {
    starts.removeIf(start -> start <= clock.now());
    return starts.size();
  }

  @Override
  public int pacePercent() {
    return 100;
  }

  @Override
  public double remainingMillis() {
    return Math.max(0, busyUntilNanos - clock.now()) / (double) MILLI_NANOS;
  }

  @Override
  public boolean isCached(String part) {
    return cached.containsKey(part);
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
    while (cachedTokens > TRAITS.cacheTokens() * 0.85 && eldest.hasNext()) {
      cachedTokens -= eldest.next().getValue();
      eldest.remove();
    }
    return uncached;
  }
}

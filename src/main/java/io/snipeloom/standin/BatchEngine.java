package io.snipeloom.standin;

import io.snipeloom.client.EngineLoad;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Generates the answers of a batch of requests, one token for each in a step.
 *
 * <p>Thread-safe. A driver calls {@link #step} at the pace of the tokens.
 */
final class BatchEngine {
  private static final int MAX_SUSPENDED = 1024;
  private static final int MICROS_PER_MILLI = 1000;

  private final EngineSettings settings;
  private final PrefixCache cache;
  private final LaggedLoad load;
  private final String processId;
  private final PriorityQueue<Generation> queued =
      new PriorityQueue<>(
          Comparator.comparingInt((Generation g) -> g.request().priority())
              .thenComparingLong(Generation::arrival));
  private final List<Generation> running = new ArrayList<>();
  private final Map<String, Generation> active = new HashMap<>();
  private final Map<String, Generation> suspended = new LinkedHashMap<>();

  private long arrivals;
  private long started;
  private long completed;
  private long stopped;
  private long crashes;
  private long tokens;

  BatchEngine(EngineSettings settings, PrefixCache cache, LaggedLoad load, String processId) {
    this.settings = settings;
    this.cache = cache;
    this.load = load;
    this.processId = processId;
  }

  /** Queues a request. */
  synchronized Generation submit(String requestedId, ChatRequest request) {
    String id = requestedId.isEmpty() ? "chatcmpl-" + arrivals : requestedId;
    if (active.containsKey(id)) {
      throw SnipeloomException.of(ErrorCode.KEY_REUSED, "request " + id + " is running");
    }
    if (queued.size() >= settings.maxQueued() + settings.batchSize() - running.size()) {
      throw SnipeloomException.of(ErrorCode.OVERLOADED, "the queue is full")
          .withRetryAfter(Duration.ofSeconds(1));
    }
    return new Generation(id, request, arrivals++, settings.answerTokens());
  }

  /** Starts to deliver a queued or suspended request to a listener. */
  synchronized void start(Generation generation, TokenListener listener) {
    generation.attach(listener);
    suspended.remove(generation.id());
    active.put(generation.id(), generation);
    queued.add(generation);
    changed();
    notifyAll();
  }

  /** Returns the state of a request that was interrupted. */
  synchronized Generation resumable(String id) {
    Generation generation = suspended.get(id);
    if (generation == null) {
      throw SnipeloomException.of(ErrorCode.NOT_FOUND, "no interrupted request " + id);
    }
    return generation;
  }

  /** Stops a request whose client went away; it can be resumed. */
  synchronized void suspend(Generation generation) {
    if (remove(generation)) {
      suspended.put(generation.id(), generation);
      forgetOldest();
    }
  }

  /** Stops a request for good. */
  void cancel(String id) {
    Generation generation;
    synchronized (this) {
      generation = active.get(id);
      if (generation == null && suspended.remove(id) == null) {
        throw SnipeloomException.of(ErrorCode.NOT_FOUND, "no request " + id);
      }
      if (generation == null || !remove(generation)) {
        return;
      }
    }
    generation.listener().end(FinishReason.CANCELLED, generation.generated());
  }

  /** Waits until there is something to generate. */
  synchronized void awaitWork() throws InterruptedException {
    while (running.isEmpty() && queued.isEmpty()) {
      wait();
    }
  }

  /**
   * Makes one step: fills the batch and generates a token for each request in it.
   *
   * @return whether the engine survived
   */
  boolean step() {
    List<Runnable> deliveries = new ArrayList<>();
    synchronized (this) {
      fillBatch();
      for (Generation generation : List.copyOf(running)) {
        if (!generation.isPrefilled()) {
          continue;
        }
        if (generation.request().prompt().contains(settings.crashMarker())) {
          crash();
          return false;
        }
        deliveries.add(generate(generation));
      }
    }
    deliveries.forEach(Runnable::run);
    return true;
  }

  /** Returns what was done since the start. */
  synchronized EngineCounts counts() {
    return new EngineCounts(started, completed, stopped, crashes, tokens);
  }

  private void fillBatch() {
    while (running.size() < settings.batchSize() && !queued.isEmpty()) {
      Generation generation = queued.remove();
      generation.startPrefill(prefillSteps(generation));
      running.add(generation);
      started++;
    }
    changed();
  }

  private int prefillSteps(Generation generation) {
    List<String> prefixes = generation.request().prefixes();
    int blocks = prefixes.size() + 1;
    int missing = generation.promptTokens() * (blocks - cache.use(prefixes)) / blocks;
    if (settings.tokenMillis() == 0) {
      return 0;
    }
    long micros = (long) missing * settings.prefillMicros();
    return (int) (micros / ((long) settings.tokenMillis() * MICROS_PER_MILLI));
  }

  private Runnable generate(Generation generation) {
    TokenListener listener = generation.listener();
    int index = generation.generate();
    String text = generation.token(index);
    tokens++;
    if (!generation.isDone()) {
      return () -> listener.token(index, text);
    }
    running.remove(generation);
    active.remove(generation.id());
    completed++;
    changed();
    return () -> {
      listener.token(index, text);
      listener.end(generation.finishReason(), index + 1);
    };
  }

  private void crash() {
    crashes++;
    running.clear();
    queued.clear();
    active.clear();
    suspended.clear();
    cache.clear();
    changed();
  }

  private boolean remove(Generation generation) {
    if (!active.remove(generation.id(), generation)) {
      return false;
    }
    running.remove(generation);
    queued.remove(generation);
    stopped++;
    changed();
    return true;
  }

  private void forgetOldest() {
    if (suspended.size() > MAX_SUSPENDED) {
      suspended.remove(suspended.keySet().iterator().next());
    }
  }

  /** Returns a text that differs for each start, crashes included. */
  synchronized String startId() {
    return processId + "." + crashes;
  }

  private void changed() {
    load.update(new EngineLoad(running.size(), queued.size(), settings.batchSize(), ""));
  }
}

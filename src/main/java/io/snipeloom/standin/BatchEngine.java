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
 * Generates the answers of a batch of requests with continuous batching: each step generates one
 * token for each running request.
 *
 * <p>Thread-safe. {@link BatchDriver} calls {@link #step} once per token interval.
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
              .thenComparingLong(Generation::arrivalNumber));
  private final List<Generation> running = new ArrayList<>();
  private final Map<String, Generation> active = new HashMap<>();
  private final Map<String, Generation> suspended = new LinkedHashMap<>();

  private long created;
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

  /** Creates the generation for a request without queuing it; fails if the queue is full. */
  synchronized Generation create(String requestedId, ChatRequest request) {
    String id = requestedId.isEmpty() ? "chatcmpl-" + created : requestedId;
    if (active.containsKey(id)) {
      throw SnipeloomException.of(ErrorCode.KEY_REUSED, "request " + id + " is already active");
    }
    if (queued.size() >= settings.maxQueued() + settings.batchSize() - running.size()) {
      throw SnipeloomException.of(ErrorCode.OVERLOADED, "the queue is full")
          .withRetryAfter(Duration.ofSeconds(1));
    }
    return new Generation(id, request, created++, settings.answerTokens());
  }

  /** Queues a new or suspended request; its tokens are delivered to the listener. */
  synchronized void enqueue(Generation generation, TokenListener listener) {
    generation.attach(listener);
    suspended.remove(generation.id());
    active.put(generation.id(), generation);
    queued.add(generation);
    publishLoad();
    notifyAll();
  }

  /** Returns the suspended generation of a request whose client disconnected. */
  synchronized Generation resumable(String id) {
    Generation generation = suspended.get(id);
    if (generation == null) {
      throw SnipeloomException.of(ErrorCode.NOT_FOUND, "no suspended request " + id);
    }
    return generation;
  }

  /** Stops a request whose client disconnected; it can be resumed later. */
  synchronized void suspend(Generation generation) {
    if (remove(generation)) {
      suspended.put(generation.id(), generation);
      evictOldestSuspended();
    }
  }

  /** Cancels a request; it cannot be resumed. */
  void cancel(String id) {
    Generation generation;
    synchronized (this) {
      generation = active.get(id);
      if (generation == null && suspended.remove(id) == null) {
        throw SnipeloomException.of(ErrorCode.NOT_FOUND, "no active or suspended request " + id);
      }
      if (generation == null || !remove(generation)) {
        return;
      }
    }
    generation.listener().end(FinishReason.CANCELLED, generation.generated());
  }

  /** Blocks until a request is queued or running. */
  synchronized void awaitWork() throws InterruptedException {
    while (running.isEmpty() && queued.isEmpty()) {
      wait();
    }
  }

  /**
   * Runs one step: fills the batch from the queue and generates one token for each prefilled
   * request.
   *
   * @return false if the engine crashed in this step
   */
  boolean step() {
    List<Runnable> deliveries = new ArrayList<>();
    synchronized (this) {
      fillBatch();
      for (Generation generation : List.copyOf(running)) {
        if (!generation.advancePrefill()) {
          continue;
        }
        if (generation.request().prompt().contains(settings.crashMarker())) {
          crash();
          return false;
        }
        deliveries.add(generateToken(generation));
      }
    }
    deliveries.forEach(Runnable::run);
    return true;
  }

  /** Returns the counters since this engine was created; a simulated crash does not reset them. */
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
    publishLoad();
  }

  private int prefillSteps(Generation generation) {
    List<String> prefixes = generation.request().prefixes();
    int blocks = prefixes.size() + 1;
    int uncachedTokens =
        generation.promptTokens() * (blocks - cache.lookUpAndCache(prefixes)) / blocks;
    if (settings.tokenMillis() == 0) {
      return 0;
    }
    long micros = (long) uncachedTokens * settings.prefillMicros();
    return (int) (micros / ((long) settings.tokenMillis() * MICROS_PER_MILLI));
  }

  private Runnable generateToken(Generation generation) {
    TokenListener listener = generation.listener();
    int index = generation.nextToken();
    String text = generation.token(index);
    tokens++;
    if (!generation.isDone()) {
      return () -> listener.token(index, text);
    }
    running.remove(generation);
    active.remove(generation.id());
    completed++;
    publishLoad();
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
    publishLoad();
  }

  private boolean remove(Generation generation) {
    if (!active.remove(generation.id(), generation)) {
      return false;
    }
    running.remove(generation);
    queued.remove(generation);
    stopped++;
    publishLoad();
    return true;
  }

  private void evictOldestSuspended() {
    if (suspended.size() > MAX_SUSPENDED) {
      suspended.remove(suspended.keySet().iterator().next());
    }
  }

  /** Returns an id that changes with each start of the engine, including restarts after a crash. */
  synchronized String startId() {
    return processId + "." + crashes;
  }

  private void publishLoad() {
    load.update(new EngineLoad(running.size(), queued.size(), settings.batchSize(), ""));
  }
}

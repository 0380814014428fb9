package io.snipeloom.standin;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.List;

/**
 * The settings of an engine stand-in.
 *
 * @param models the names of the models loaded at the start
 * @param batchSize the maximum number of requests in the batch
 * @param maxQueued the maximum number of requests in the queue
 * @param tokenMillis the duration of one step of the batch, which generates one token for each
 *     request, in milliseconds; 0 for no delay
 * @param answerTokens the number of tokens in an answer; a request can only lower it
 * @param prefillMicros the time to process a prompt token that is not cached, in microseconds
 * @param cacheBlocks the capacity of the prefix cache, in blocks
 * @param crashMarker a prompt that contains this text crashes the engine
 * @param crashDownMillis the duration of the outage after a crash, in milliseconds
 * @param crashExits whether a crash ends the process instead of causing an outage
 * @param ignoresFencing whether orders with outdated fencing numbers are applied
 */
public record EngineSettings(
    List<String> models,
    int batchSize,
    int maxQueued,
    int tokenMillis,
    int answerTokens,
    int prefillMicros,
    int cacheBlocks,
    String crashMarker,
    int crashDownMillis,
    boolean crashExits,
    boolean ignoresFencing) {
  private static final EngineSettings DEFAULT =
      new EngineSettings(
          List.of("standin-model"), 64, 1024, 10, 32, 50, 4096, "<<crash>>", 1000, false, false);

  /** Validates the ranges and makes a defensive copy of the models. */
  public EngineSettings {
    models = List.copyOf(models);
    check("models", !models.isEmpty());
    check("batchSize", batchSize > 0);
    check("maxQueued", maxQueued >= 0);
    check("tokenMillis", tokenMillis >= 0);
    check("answerTokens", answerTokens > 0);
    check("prefillMicros", prefillMicros >= 0);
    check("cacheBlocks", cacheBlocks >= 0);
    check("crashMarker", !crashMarker.isEmpty());
    check("crashDownMillis", crashDownMillis >= 0);
  }

  /** Returns the default settings. */
  public static EngineSettings standard() {
    return DEFAULT;
  }

  /**
   * Returns a copy with other models.
   *
   * @param names the names of the models loaded at the start
   */
  public EngineSettings withModels(List<String> names) {
    return new EngineSettings(
        names,
        batchSize,
        maxQueued,
        tokenMillis,
        answerTokens,
        prefillMicros,
        cacheBlocks,
        crashMarker,
        crashDownMillis,
        crashExits,
        ignoresFencing);
  }

  /**
   * Returns a copy with another batch size and queue limit.
   *
   * @param size the maximum number of requests in the batch
   * @param queued the maximum number of requests in the queue
   */
  public EngineSettings withBatch(int size, int queued) {
    return new EngineSettings(
        models,
        size,
        queued,
        tokenMillis,
        answerTokens,
        prefillMicros,
        cacheBlocks,
        crashMarker,
        crashDownMillis,
        crashExits,
        ignoresFencing);
  }

  /**
   * Returns a copy with another generation speed and answer length.
   *
   * @param millis the duration of one step of the batch, in milliseconds
   * @param tokens the number of tokens in an answer
   */
  public EngineSettings withGeneration(int millis, int tokens) {
    return new EngineSettings(
        models,
        batchSize,
        maxQueued,
        millis,
        tokens,
        prefillMicros,
        cacheBlocks,
        crashMarker,
        crashDownMillis,
        crashExits,
        ignoresFencing);
  }

  /**
   * Returns a copy with another prefix cache capacity and prefill time.
   *
   * @param blocks the capacity of the prefix cache, in blocks
   * @param micros the time to process a prompt token that is not cached, in microseconds
   */
  public EngineSettings withCache(int blocks, int micros) {
    return new EngineSettings(
        models,
        batchSize,
        maxQueued,
        tokenMillis,
        answerTokens,
        micros,
        blocks,
        crashMarker,
        crashDownMillis,
        crashExits,
        ignoresFencing);
  }

  /**
   * Returns a copy with another outage duration after a crash.
   *
   * @param downMillis the duration of the outage, in milliseconds
   */
  public EngineSettings withCrashDownMillis(int downMillis) {
    return new EngineSettings(
        models,
        batchSize,
        maxQueued,
        tokenMillis,
        answerTokens,
        prefillMicros,
        cacheBlocks,
        crashMarker,
        downMillis,
        crashExits,
        ignoresFencing);
  }

  /**
   * Returns a copy that ignores or enforces fencing numbers.
   *
   * @param ignores whether orders with outdated fencing numbers are applied
   */
  public EngineSettings withIgnoresFencing(boolean ignores) {
    return new EngineSettings(
        models,
        batchSize,
        maxQueued,
        tokenMillis,
        answerTokens,
        prefillMicros,
        cacheBlocks,
        crashMarker,
        crashDownMillis,
        crashExits,
        ignores);
  }

  private static void check(String field, boolean valid) {
    if (!valid) {
      throw SnipeloomException.of(ErrorCode.INVALID_SETTINGS, field + " is out of range");
    }
  }
}

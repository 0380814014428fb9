package io.snipeloom.standin;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.List;

/**
 * How an engine stand-in works.
 *
 * @param models the models loaded at the start
 * @param batchSize the requests that generate at once
 * @param maxQueued the requests that may wait
 * @param tokenMillis the time of one step of the batch, in which each request gets a token
 * @param answerTokens the tokens of an answer that the caller does not limit
 * @param prefillMicros the time to read a prompt token that is not cached, in microseconds
 * @param cacheBlocks the blocks of the prefix cache
 * @param crashMarker the text that crashes the engine
 * @param crashDownMillis the time that the engine stays down after a crash
 * @param crashExits whether a crash ends the process
 * @param ignoresFencing whether orders with old fencing numbers are carried out
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
  private static final EngineSettings STANDARD =
      new EngineSettings(
          List.of("standin-model"), 64, 1024, 10, 32, 50, 4096, "<<crash>>", 1000, false, false);

  /** Checks the ranges and copies the models. */
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

  /**
   * Returns the settings used unless others are given.
   *
   * @return the standard settings
   */
  public static EngineSettings standard() {
    return STANDARD;
  }

  /**
   * Returns a copy with other models.
   *
   * @param names the models loaded at the start
   * @return the copy
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
   * Returns a copy with another batch.
   *
   * @param size the requests that generate at once
   * @param queued the requests that may wait
   * @return the copy
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
   * Returns a copy with another pace.
   *
   * @param millis the time of one step
   * @param tokens the tokens of an answer without a limit
   * @return the copy
   */
  public EngineSettings withPace(int millis, int tokens) {
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
   * Returns a copy with another prefix cache.
   *
   * @param blocks the blocks of the cache
   * @param micros the time to read a prompt token that is not cached
   * @return the copy
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
   * Returns a copy with another time after a crash.
   *
   * @param downMillis the time that the engine stays down
   * @return the copy
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
   * Returns a copy that ignores fencing numbers, or no longer.
   *
   * @param ignores whether orders with old numbers are carried out
   * @return the copy
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

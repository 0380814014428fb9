package io.snipeloom.standin;

import io.snipeloom.client.EngineLoad;
import java.security.SecureRandom;

/** The components behind the HTTP interface of an engine. */
record EngineComponents(
    BatchEngine engine, PrefixCache cache, LaggedLoad load, EngineOrders orders) {

  /** Creates the components of an engine. */
  static EngineComponents of(EngineSettings settings) {
    String processId = Long.toHexString(new SecureRandom().nextLong());
    PrefixCache cache = new PrefixCache(settings.cacheBlocks(), System::nanoTime);
    LaggedLoad load =
        new LaggedLoad(System::nanoTime, new EngineLoad(0, 0, settings.batchSize(), ""));
    return new EngineComponents(
        new BatchEngine(settings, cache, load, processId),
        cache,
        load,
        new EngineOrders(settings.models(), settings.ignoresFencing()));
  }

  /** Returns the load as of {@code lagMillis} ago, with the current start id of the engine. */
  EngineLoad report(long lagMillis) {
    EngineLoad delayed = load.report(lagMillis);
    return new EngineLoad(
        delayed.running(), delayed.queued(), delayed.capacity(), engine.startId());
  }
}

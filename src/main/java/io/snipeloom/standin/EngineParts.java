package io.snipeloom.standin;

import io.snipeloom.platform.EngineLoad;

/** The parts that the HTTP interface of an engine works on. */
record EngineParts(BatchEngine engine, PrefixCache cache, LaggedLoad load, EngineOrders orders) {

  /** Creates the parts of an engine. */
  static EngineParts of(EngineSettings settings) {
    PrefixCache cache = new PrefixCache(settings.cacheBlocks(), System::nanoTime);
    LaggedLoad load = new LaggedLoad(System::nanoTime, new EngineLoad(0, 0, settings.batchSize()));
    return new EngineParts(
        new BatchEngine(settings, cache, load),
        cache,
        load,
        new EngineOrders(settings.models(), settings.ignoresFencing()));
  }
}

package io.snipeloom.standin;

import io.snipeloom.client.EngineLoad;
import java.security.SecureRandom;

/** The parts that the HTTP interface of an engine works on. */
record EngineParts(BatchEngine engine, PrefixCache cache, LaggedLoad load, EngineOrders orders) {

  /** Creates the parts of an engine. */
  static EngineParts of(EngineSettings settings) {
    String processId = Long.toHexString(new SecureRandom().nextLong());
    PrefixCache cache = new PrefixCache(settings.cacheBlocks(), System::nanoTime);
    LaggedLoad load =
        new LaggedLoad(System::nanoTime, new EngineLoad(0, 0, settings.batchSize(), ""));
    return new EngineParts(
        new BatchEngine(settings, cache, load, processId),
        cache,
        load,
        new EngineOrders(settings.models(), settings.ignoresFencing()));
  }

  /** Returns the load as it was before the lag, with the identity of the running engine. */
  EngineLoad report(long lagMillis) {
    EngineLoad lagging = load.report(lagMillis);
    return new EngineLoad(
        lagging.running(), lagging.queued(), lagging.capacity(), engine.startId());
  }
}

package io.snipeloom.client;

/**
 * The load reported by a model engine. It may lag behind the actual load.
 *
 * @param running the number of requests in the batch
 * @param queued the number of queued requests
 * @param capacity the maximum number of requests in the batch
 * @param startId an id that changes with each start of the engine
 */
public record EngineLoad(int running, int queued, int capacity, String startId) {}

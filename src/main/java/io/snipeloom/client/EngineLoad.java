package io.snipeloom.client;

/**
 * The load that a model engine reports, with a lag.
 *
 * @param running requests in the batch
 * @param queued requests that wait
 * @param capacity requests that the batch takes
 * @param startId differs for each start of the engine
 */
public record EngineLoad(int running, int queued, int capacity, String startId) {}

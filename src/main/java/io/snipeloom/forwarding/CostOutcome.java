package io.snipeloom.forwarding;

import io.snipeloom.cost.PredictedService;

/**
 * What a model request cost a replica, and what was predicted when it was sent. Immutable.
 *
 * @param route the name of the route
 * @param estimatedTokens the output that was estimated, in tokens
 * @param tokens the output, in tokens
 * @param predicted how the replica was expected to serve the request
 * @param firstEventMillis the time from sending the request to its first event, in milliseconds
 * @param pace the pace of the replica that was expected; 2 is twice as long as usual
 */
record CostOutcome(
    String route,
    long estimatedTokens,
    long tokens,
    PredictedService predicted,
    long firstEventMillis,
    double pace) {}

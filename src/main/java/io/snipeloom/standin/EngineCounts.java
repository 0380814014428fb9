package io.snipeloom.standin;

/**
 * Counters of an engine stand-in since its start; a simulated crash does not reset them.
 *
 * @param started the number of times that a request entered the batch
 * @param completed the number of requests whose answer was completed
 * @param stopped the number of times that a request was stopped early, by cancellation or because
 *     its client disconnected
 * @param crashes the number of simulated crashes
 * @param tokens the number of tokens generated
 */
public record EngineCounts(long started, long completed, long stopped, long crashes, long tokens) {}

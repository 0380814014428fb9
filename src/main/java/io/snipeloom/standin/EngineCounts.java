package io.snipeloom.standin;

/**
 * What an engine stand-in did since its start.
 *
 * @param started requests that entered the batch
 * @param completed requests that ended with their whole answer
 * @param stopped requests that ended early, since they were cancelled or their client went away
 * @param crashes crashes
 * @param tokens tokens generated
 */
public record EngineCounts(long started, long completed, long stopped, long crashes, long tokens) {}

package io.snipeloom.client;

/**
 * The response to an append to the log.
 *
 * @param offset the offset of the appended record
 */
public record AppendResponse(long offset) {}

package io.snipeloom.client;

/**
 * The answer to an append to the log.
 *
 * @param offset the offset of the record
 */
public record AppendResponse(long offset) {}

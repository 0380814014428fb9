package io.snipeloom.client;

/**
 * A record of the log.
 *
 * @param offset its offset, from 0
 * @param data its bytes, not to be modified
 */
public record LogRecord(long offset, byte[] data) {}

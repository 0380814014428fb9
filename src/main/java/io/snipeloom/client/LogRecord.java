package io.snipeloom.client;

/**
 * A record in the log.
 *
 * @param offset the position in the stream, starting at 0
 * @param data the content; not copied, so it must not be modified
 */
public record LogRecord(long offset, byte[] data) {}

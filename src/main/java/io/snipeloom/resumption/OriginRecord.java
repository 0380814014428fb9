package io.snipeloom.resumption;

/**
 * The origin of one stream.
 *
 * @param attempt the caller's attempt that received the first event
 * @param origin what produced that event
 */
public record OriginRecord(String attempt, StreamOrigin origin) {}

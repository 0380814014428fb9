package io.snipeloom.daemon;

/**
 * A request key issued to a caller.
 *
 * @param key the key, a version 7 UUID
 */
public record IssuedKey(String key) {}

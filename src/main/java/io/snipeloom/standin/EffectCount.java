package io.snipeloom.standin;

/**
 * The number of times that calls with the same key or body took effect at a plain service.
 *
 * @param key the idempotency key, or the digest of the body
 * @param count the number of effects
 */
public record EffectCount(String key, long count) {}

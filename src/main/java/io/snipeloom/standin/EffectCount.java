package io.snipeloom.standin;

/**
 * How often something took effect at a plain service.
 *
 * @param key the idempotency key, or the body in hex digest form
 * @param count how often it took effect
 */
public record EffectCount(String key, long count) {}

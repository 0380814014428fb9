package io.snipeloom.crashes;

/**
 * An attempt at a replica whose answer was not complete when its connection broke. Immutable.
 *
 * @param traits the traits of its request
 * @param sentNanos when it was sent, as {@link System#nanoTime}
 * @param survived whether the replica had gone on with the answer for a while, so that no part of
 *     the prompt has crashed it
 */
public record InFlight(RequestTraits traits, long sentNanos, boolean survived) {}

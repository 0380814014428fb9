/**
 * Counts the bytes that an instance holds for callers and replicas that read slowly, and decides
 * what is held, when reading stops and which response is cut off.
 *
 * <p>Nothing in this package accesses the network or a clock. Classes with mutable state are
 * confined to one event loop thread and are not thread-safe.
 */
package io.snipeloom.buffering;

/**
 * Decides under load which requests are sent to replicas and which are refused at once, and when
 * the callers of the refused ones may come back.
 *
 * <p>Nothing in this package accesses the network or a clock. Times are nanoseconds of a monotonic
 * clock that the caller passes in. Classes with mutable state are confined to one event loop thread
 * and are not thread-safe.
 */
package io.snipeloom.admission;

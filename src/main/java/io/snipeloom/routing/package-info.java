/**
 * Decides where a request goes: routes, the replica directory, the choice of a replica, and the
 * retry allowance.
 *
 * <p>Nothing in this package accesses the network or a clock. Times are nanoseconds of a monotonic
 * clock that the caller passes in. Classes with mutable state are confined to one event loop thread
 * and are not thread-safe.
 */
package io.snipeloom.routing;

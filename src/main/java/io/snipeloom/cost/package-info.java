/**
 * Estimates what requests cost replicas: the tokens that they generate, and the work that a replica
 * still has to do.
 *
 * <p>Nothing in this package accesses the network or a clock. Times are nanoseconds of a monotonic
 * clock that the caller passes in. Classes with mutable state are confined to one event loop thread
 * and are not thread-safe.
 */
package io.snipeloom.cost;

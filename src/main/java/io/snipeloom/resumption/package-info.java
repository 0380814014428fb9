/**
 * Decides where a stream may go on that an earlier attempt began.
 *
 * <p>Nothing in this package accesses the network or a clock. Times are nanoseconds of a monotonic
 * clock that the caller passes in. Classes with mutable state are confined to one event loop thread
 * and are not thread-safe.
 */
package io.snipeloom.resumption;

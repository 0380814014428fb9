/**
 * Decides where a request goes: route table, replica directory, replica choice, retries.
 *
 * <p>Everything here is free of network and clocks. Times are nanoseconds of a monotonic clock that
 * the caller passes in. Classes that hold state belong to one event loop and are not thread-safe.
 */
package io.snipeloom.routing;

package io.snipeloom.daemon;

/**
 * The recorded state of a non-idempotent call.
 *
 * @param key the request key
 * @param run whether it ran: {@code ran}, {@code not run} or {@code unknown}
 * @param settled whether the value of {@code run} is final
 * @param attempt the sequence number of the attempt that the call is bound to
 * @param sidecar the only sidecar incarnation that may run the call
 */
public record CallStatusBody(
    String key, String run, boolean settled, long attempt, String sidecar) {}

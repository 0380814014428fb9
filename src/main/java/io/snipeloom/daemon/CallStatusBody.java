package io.snipeloom.daemon;

/**
 * What is recorded of a call that may not be repeated.
 *
 * @param key the request key
 * @param run whether it ran: {@code ran}, {@code not run} or {@code unknown}
 * @param settled whether that answer is final
 * @param attempt the number of the attempt that the key is bound to
 * @param sidecar the sidecar incarnation that the attempt is bound to
 */
public record CallStatusBody(
    String key, String run, boolean settled, long attempt, String sidecar) {}

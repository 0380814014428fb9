package io.snipeloom.standin;

/**
 * The JSON response of a plain service.
 *
 * @param service the name of the service
 * @param method the HTTP method of the call
 * @param path the URL path of the call
 * @param effect the sequence number of the effect, starting at 1; 0 if the call had no effect
 * @param key the idempotency key; empty if the call has none
 */
record ServiceReply(String service, String method, String path, long effect, String key) {}

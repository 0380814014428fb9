package io.snipeloom.standin;

/**
 * The answer of a plain service.
 *
 * @param service the name of the service
 * @param method the method of the call
 * @param path the path of the call
 * @param effect the number of the effect; 0 if the call had none
 * @param key the idempotency key; empty if none
 */
record ServiceReply(String service, String method, String path, long effect, String key) {}

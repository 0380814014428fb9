/**
 * Accepts requests of callers, forwards them to replicas and relays the responses.
 *
 * <p>All connections of an instance are confined to one event loop thread, so no locks are needed.
 * An {@link io.snipeloom.forwarding.Exchange} processes one request from its arrival to its final
 * response.
 */
package io.snipeloom.forwarding;

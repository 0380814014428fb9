/**
 * Takes requests of callers, sends them to replicas and passes the answers back.
 *
 * <p>All connections of an instance belong to one event loop, so nothing here is locked. One {@link
 * io.snipeloom.forwarding.Exchange} carries one request from its arrival to its final answer.
 */
package io.snipeloom.forwarding;

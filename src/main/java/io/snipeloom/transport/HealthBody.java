package io.snipeloom.transport;

/**
 * The body of a health check response.
 *
 * @param status always {@code up}; a process that is down does not respond
 */
public record HealthBody(String status) {}

package io.snipeloom.transport;

/**
 * The answer about health.
 *
 * @param status always {@code up}, since a process that is not does not answer
 */
public record HealthBody(String status) {}

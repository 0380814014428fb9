package io.snipeloom.standin;

/**
 * The name of a plain service.
 *
 * @param value the service name that its responses contain
 */
record ServiceName(String value) {}

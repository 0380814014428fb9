package io.snipeloom.standin;

/**
 * The name of a plain service.
 *
 * @param value the name that its answers carry
 */
record ServiceName(String value) {}

package io.snipeloom.protocol;

/**
 * An HTTP header.
 *
 * @param name the name
 * @param value the value
 */
public record Header(String name, String value) {}

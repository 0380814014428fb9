package io.snipeloom.protocol;

/** An HTTP header. */
public record Header(String name, String value) {}

package io.snipeloom.daemon;

/**
 * An operator who may use the administration API and the console.
 *
 * @param name the name under which actions of the operator are recorded in the log
 * @param tokenHash the SHA-256 of the operator's token, in lower-case hexadecimal
 */
public record OperatorSettings(String name, String tokenHash) {}

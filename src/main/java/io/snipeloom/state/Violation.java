package io.snipeloom.state;

/**
 * A rule violation at one position of an input.
 *
 * @param pointer the JSON Pointer to the invalid value
 * @param message a description of the violation, without secrets
 */
public record Violation(String pointer, String message) {}

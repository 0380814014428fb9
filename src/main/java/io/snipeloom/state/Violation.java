package io.snipeloom.state;

/**
 * One place at which an input breaks a rule.
 *
 * @param pointer the JSON Pointer to the wrong place
 * @param message what is wrong there, without secrets
 */
public record Violation(String pointer, String message) {}

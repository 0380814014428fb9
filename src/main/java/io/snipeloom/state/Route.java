package io.snipeloom.state;

/**
 * Selects the plain HTTP calls that belong to a request class.
 *
 * @param method the HTTP method in upper case
 * @param pathPrefix the prefix of the path, starting with a slash
 */
public record Route(String method, String pathPrefix) {}

package io.snipeloom.routing;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller states about its request.
 *
 * @param attemptId identifies this attempt of the caller; empty if it gave none
 * @param timeoutMillis how long the caller waits, in milliseconds
 * @param apiKey the key that names the customer
 * @param prompt the prompt of a model request
 * @param lastEventId the last event that the caller has of a stream that it resumes
 */
public record RequestMetadata(
    String attemptId,
    OptionalLong timeoutMillis,
    Optional<String> apiKey,
    Optional<Prompt> prompt,
    Optional<String> lastEventId) {}

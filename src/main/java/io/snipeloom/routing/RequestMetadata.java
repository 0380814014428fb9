package io.snipeloom.routing;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The metadata in the headers of a caller's request.
 *
 * @param attemptId identifies this attempt of the caller
 * @param timeoutMillis how long the caller waits, in milliseconds; empty if not stated
 * @param apiKey the API key of the customer, if stated
 * @param prompt the prompt of a model request; empty for other requests
 * @param lastEventId the last event that the caller received of a stream that it resumes
 * @param resumedAttempt the attempt that received the first event of that stream, if stated
 * @param outputHint what the caller estimates for the output, in tokens, if stated
 */
public record RequestMetadata(
    String attemptId,
    OptionalLong timeoutMillis,
    Optional<String> apiKey,
    Optional<Prompt> prompt,
    Optional<String> lastEventId,
    Optional<String> resumedAttempt,
    OptionalLong outputHint) {}

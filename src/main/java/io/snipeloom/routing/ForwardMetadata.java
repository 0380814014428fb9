package io.snipeloom.routing;

import java.util.Optional;

/**
 * The metadata that this instance adds to a forwarded request.
 *
 * @param replica the only replica that may execute the request; any other rejects it
 * @param timeoutMillis the time until the deadline, in milliseconds
 * @param customer the name of the customer, if the request was authenticated
 * @param priority the priority of the request, 0 being the highest
 * @param lastEventId the last event received from an earlier attempt, after which the stream
 *     resumes; empty if there is none
 */
public record ForwardMetadata(
    ReplicaId replica,
    long timeoutMillis,
    Optional<String> customer,
    int priority,
    Optional<String> lastEventId) {}

package io.snipeloom.routing;

import java.util.Optional;

/**
 * What this instance states about a request that it forwards.
 *
 * @param replica the replica that may run it; any other one refuses it
 * @param timeoutMillis the time that is left, in milliseconds
 * @param customer the name of the customer, if the route needs a key
 * @param priority the rank among the requests of the replica, 0 is the first
 * @param lastEventId the event to resume after, if it differs from what the caller stated
 */
public record ForwardMetadata(
    ReplicaId replica,
    long timeoutMillis,
    Optional<String> customer,
    int priority,
    Optional<String> lastEventId) {}

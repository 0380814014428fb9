package io.snipeloom.crashes;

/**
 * One start of a replica. Immutable.
 *
 * @param service its service
 * @param id identifies the start among those of all replicas
 */
public record ReplicaIncarnation(String service, String id) {}

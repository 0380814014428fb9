package io.snipeloom.state;

/**
 * An order issued to the engine behind a sidecar instance.
 *
 * @param fencingNumber the fencing number, which is the log offset of the record of the order
 * @param target the sidecar instance
 */
public record IssuedOrder(long fencingNumber, InstanceId target, EngineOrder order) {}

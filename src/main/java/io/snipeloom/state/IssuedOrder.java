package io.snipeloom.state;

/**
 * An order to the engine behind one sidecar slot.
 *
 * @param fencingNumber the offset of its record
 * @param target the sidecar slot
 * @param order the order
 */
public record IssuedOrder(long fencingNumber, InstanceId target, EngineOrder order) {}

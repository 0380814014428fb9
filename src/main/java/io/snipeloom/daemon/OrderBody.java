package io.snipeloom.daemon;

import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.InstanceId;

/**
 * An order to an engine, as an operator sends it.
 *
 * @param target the slot of the sidecar beside the engine
 * @param action what to do
 * @param subject the model, adapter, version or role that the action concerns
 */
record OrderBody(InstanceId target, EngineOrder.Action action, String subject) {}

package io.snipeloom.daemon;

import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.InstanceId;

/**
 * An order to an engine as sent by an operator.
 *
 * @param target the instance id of the sidecar of the engine
 * @param action the action to carry out
 * @param subject the model, adapter, version or role that the action concerns
 */
record OrderBody(InstanceId target, EngineOrder.Action action, String subject) {}

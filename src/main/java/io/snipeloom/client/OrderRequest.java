package io.snipeloom.client;

import io.snipeloom.state.EngineOrder;

/**
 * The request body of an order to a model engine.
 *
 * @param fencing the fencing number of the order
 * @param action the action to perform
 * @param subject the name of the model, adapter, version or role that the action applies to
 */
public record OrderRequest(long fencing, EngineOrder.Action action, String subject) {}

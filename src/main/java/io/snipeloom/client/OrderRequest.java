package io.snipeloom.client;

import io.snipeloom.state.EngineOrder;

/**
 * The body of an order to a model engine.
 *
 * @param fencing the fencing number
 * @param action what to do
 * @param subject the model, adapter, version or role
 */
public record OrderRequest(long fencing, EngineOrder.Action action, String subject) {}

package io.snipeloom.client;

import io.snipeloom.state.EngineOrder;

/**
 * The control interface of a model engine.
 *
 * <p>Implementations are thread-safe; calls block. Errors without an answer have {@link
 * io.snipeloom.state.ErrorCode#CONNECTION_LOST}.
 */
public interface ModelEngine {

  /**
   * Returns the load as the engine last reported it.
   *
   * @return the load
   */
  EngineLoad load();

  /**
   * Returns changes of the prefix cache.
   *
   * @param from the first sequence number wanted
   * @return the events that the engine has published
   */
  CachePage cacheEvents(long from);

  /**
   * Gives an order.
   *
   * @param fencing the fencing number; some engines ignore it
   * @param order the order
   * @throws io.snipeloom.state.SnipeloomException with {@link io.snipeloom.state.ErrorCode#FENCED}
   *     if the number is old
   */
  void order(long fencing, EngineOrder order);

  /**
   * Stops a request.
   *
   * @param id the id of the request at the engine
   */
  void cancel(String id);
}

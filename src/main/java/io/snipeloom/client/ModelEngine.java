package io.snipeloom.client;

import io.snipeloom.state.EngineOrder;

/**
 * The control interface of a model engine.
 *
 * <p>Implementations are thread-safe. Calls block. They fail with {@link
 * io.snipeloom.state.ErrorCode#CONNECTION_LOST} if the engine does not respond.
 */
public interface ModelEngine {

  /** Returns the load that the engine reports. */
  EngineLoad load();

  /**
   * Returns changes to the prefix cache.
   *
   * @param firstSequence the sequence number of the first event to return
   * @return the events published since then
   */
  CachePage cacheEvents(long firstSequence);

  /**
   * Sends an order to the engine.
   *
   * @param fencingNumber the fencing number of the order; some engines ignore it
   * @throws io.snipeloom.state.SnipeloomException with {@link io.snipeloom.state.ErrorCode#FENCED}
   *     if the engine has already received a higher fencing number
   */
  void order(long fencingNumber, EngineOrder order);

  /**
   * Cancels a request.
   *
   * @param requestId the id of the request at the engine
   */
  void cancel(String requestId);
}

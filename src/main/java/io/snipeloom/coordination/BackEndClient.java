package io.snipeloom.coordination;

import io.snipeloom.protocol.HttpCall;
import io.snipeloom.state.EngineOrder;
import java.util.concurrent.CompletionStage;

/**
 * The back end beside a sidecar: a model engine or a plain service.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface BackEndClient {

  /**
   * Starts a call.
   *
   * @param call the call
   * @param listener receives the answer, from one thread at a time
   * @return the running call
   */
  BackEndCall start(HttpCall call, BackEndListener listener);

  /**
   * Asks for load and health.
   *
   * @return the status; a failure means that the back end does not answer
   */
  CompletionStage<BackEndStatus> probe();

  /**
   * Gives an order.
   *
   * @param fencingNumber the fencing number
   * @param order the order
   * @return completes when the back end has carried it out; fails with {@link
   *     io.snipeloom.state.ErrorCode#FENCED} if it refused the number
   */
  CompletionStage<Void> order(long fencingNumber, EngineOrder order);
}

package io.snipeloom.coordination;

import io.snipeloom.protocol.HttpCall;
import io.snipeloom.state.EngineOrder;
import java.util.concurrent.CompletionStage;

/**
 * A client of the sidecar's back end, which is a model engine or a plain service.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface BackEndClient {

  /**
   * Starts a call.
   *
   * @param listener receives the answer; its calls are never concurrent
   * @return the running call
   */
  BackEndCall start(HttpCall call, BackEndListener listener);

  /**
   * Requests the load and health of the back end.
   *
   * @return the status; fails if the back end does not answer
   */
  CompletionStage<BackEndStatus> probe();

  /**
   * Sends an order to the back end.
   *
   * @param fencingNumber the fencing number, by which the back end recognizes outdated orders
   * @return completes when the back end has carried it out; fails with {@link
   *     io.snipeloom.state.ErrorCode#FENCED} if it refused the number
   */
  CompletionStage<Void> order(long fencingNumber, EngineOrder order);
}

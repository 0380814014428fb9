package io.snipeloom.coordination;

import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import java.util.concurrent.CompletionStage;

/**
 * Decisions that only operators take. Each is a record in the log; a failure with {@link
 * io.snipeloom.state.ErrorCode#LOG_UNAVAILABLE} leaves it open.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface OperatorActions {

  /**
   * Gives up on the remainder of a closed holder.
   *
   * @param holder the holder
   * @param operator the operator
   * @return the log offset of the record
   */
  CompletionStage<Long> writeOff(Incarnation holder, String operator);

  /**
   * Lifts the conviction of a request.
   *
   * @param fingerprint the fingerprint of the request
   * @param operator the operator
   * @return the log offset of the record
   */
  CompletionStage<Long> liftConviction(String fingerprint, String operator);

  /**
   * Gives an order to an engine.
   *
   * @param target the slot of the sidecar beside the engine
   * @param order the order
   * @param operator the operator
   * @return the log offset of the record, which is the fencing number
   */
  CompletionStage<Long> order(InstanceId target, EngineOrder order, String operator);
}

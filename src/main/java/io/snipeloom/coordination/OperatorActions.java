package io.snipeloom.coordination;

import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import java.util.concurrent.CompletionStage;

/**
 * Decisions that only operators make. Each is appended to the log as a record. After a failure with
 * {@link io.snipeloom.state.ErrorCode#LOG_UNAVAILABLE} it is unknown whether the record was
 * written.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface OperatorActions {

  /**
   * Writes off the remaining tokens of a closed holder.
   *
   * @param operator the name of the operator
   * @return the log offset of the record
   */
  CompletionStage<Long> writeOff(Incarnation holder, String operator);

  /**
   * Lifts the conviction of a request.
   *
   * @param fingerprint the fingerprint of the request
   * @param operator the name of the operator
   * @return the log offset of the record
   */
  CompletionStage<Long> liftConviction(String fingerprint, String operator);

  /**
   * Issues an order to an engine.
   *
   * @param target the slot of the sidecar in front of the engine
   * @param operator the name of the operator
   * @return the log offset of the record, which is the fencing number
   */
  CompletionStage<Long> order(InstanceId target, EngineOrder order, String operator);
}

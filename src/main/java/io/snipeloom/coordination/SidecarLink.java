package io.snipeloom.coordination;

import io.snipeloom.client.Instance;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.Incarnation;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The router's link to one sidecar slot. It reconnects by itself and re-attaches open attempts.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface SidecarLink {

  /**
   * Returns the slot that the link leads to.
   *
   * @return the entry of the instance list
   */
  Instance instance();

  /**
   * Returns the incarnation at the other end.
   *
   * @return the incarnation; empty while not connected
   */
  Optional<Incarnation> incarnation();

  /**
   * Returns whether new work may be sent.
   *
   * @return true if connected and the sidecar is not leaving
   */
  boolean isUsable();

  /**
   * Returns the last load report.
   *
   * @return the report; zeros before the first
   */
  Message.Heartbeat load();

  /**
   * Returns the age of the last load report.
   *
   * @return the age in milliseconds
   */
  long loadAgeMillis();

  /**
   * Sends an attempt.
   *
   * @param dispatch the attempt
   * @param listener receives the answer
   */
  void dispatch(Message.Dispatch dispatch, AnswerListener listener);

  /**
   * Follows an attempt that this or another router sent earlier.
   *
   * @param attach the attempt and the first sequence wanted
   * @param listener receives the answer
   */
  void attach(Message.Attach attach, AnswerListener listener);

  /**
   * Tells the sidecar that chunks were passed on, which opens its window.
   *
   * @param attempt the attempt
   * @param nextSequence the first sequence not yet passed on
   */
  void acknowledge(AttemptId attempt, long nextSequence);

  /**
   * Stops an attempt whose caller has gone.
   *
   * @param attempt the attempt
   */
  void cancel(AttemptId attempt);

  /**
   * Asks what became of a request.
   *
   * @param query the query; its number is replaced by the link
   * @return the answer, or a failure with {@link io.snipeloom.state.ErrorCode#CONNECTION_LOST}
   */
  CompletionStage<Message.CallStatus> query(Message.CallQuery query);
}

package io.snipeloom.coordination;

import io.snipeloom.client.Instance;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.Incarnation;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * A router's link to one sidecar slot. It reconnects automatically and re-attaches open attempts.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface SidecarLink {

  /** Returns the entry of the instance list for the slot that the link connects to. */
  Instance instance();

  /** Returns the connected incarnation; empty while not connected. */
  Optional<Incarnation> incarnation();

  /**
   * Returns whether new work may be sent.
   *
   * @return true if connected, the connection has room for more data and the sidecar is not leaving
   */
  boolean isUsable();

  /**
   * Returns the last load report.
   *
   * @return the report; all values are 0 before the first one
   */
  Message.Heartbeat load();

  /**
   * Returns the age of the last load report in milliseconds, counted from the creation of the link
   * before the first one.
   */
  long loadAgeMillis();

  /**
   * Sends an attempt.
   *
   * @param listener receives the answer
   */
  void dispatch(Message.Dispatch dispatch, AnswerListener listener);

  /**
   * Receives the answer of an attempt that this or another router sent earlier.
   *
   * @param attach the attempt and the first sequence number to receive
   * @param listener receives the answer
   */
  void attach(Message.Attach attach, AnswerListener listener);

  /**
   * Acknowledges the chunks that were passed on, so that the sidecar sends further ones.
   *
   * @param nextSequence the sequence number of the first chunk not yet passed on
   */
  void acknowledge(AttemptId attempt, long nextSequence);

  /** Cancels an attempt whose caller disconnected. */
  void cancel(AttemptId attempt);

  /**
   * Queries the state of a request.
   *
   * @param query the query, whose number is replaced by the link
   * @return the answer; fails with {@link io.snipeloom.state.ErrorCode#CONNECTION_LOST} if the
   *     connection is lost
   */
  CompletionStage<Message.CallStatus> query(Message.CallQuery query);
}

package io.snipeloom.protocol;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RequestClassId;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.RunState;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Urgency;
import java.util.List;

/** A message between a router and a sidecar. Each message is sent in one frame. */
public sealed interface Message {

  /**
   * Starts the handshake; each end sends one.
   *
   * @param version the protocol version of the sender; see {@link MessageCodec#VERSION}
   * @param nonce random bytes that both ends include in their signatures
   */
  record Hello(int version, Incarnation sender, byte[] nonce) implements Message {}

  /**
   * Proves knowledge of the shared key with a signature of the role of the sender and of the
   * identities and nonces of both ends.
   */
  record Proof(byte[] signature) implements Message {}

  /**
   * Keeps the connection alive and reports the load of the sender. All zero from a router.
   *
   * @param running the number of requests that the back end is running
   * @param queued the number of requests queued at the sidecar
   * @param capacity the number of requests that the back end can run concurrently
   */
  record Heartbeat(int running, int queued, int capacity) implements Message {}

  /**
   * Announces that the sidecar is draining: it accepts no new attempts but completes those it has.
   */
  record Leaving() implements Message {}

  /**
   * Sends an attempt to a sidecar for execution.
   *
   * @param key the key of the request
   * @param issuedAtMillis the issue time of the request key, in milliseconds since the epoch
   * @param sidecar the incarnation that is to run the attempt; any other refuses it
   * @param budget the budget that is charged
   * @param urgency the urgency of the request
   * @param reservedTokens the number of tokens reserved: the maximum that the attempt may consume
   * @param maxOutputTokens the maximum number of tokens in the answer
   * @param remainingMillis the time left until the deadline, in milliseconds
   * @param retained whether the answer is retained so that a retry of the request can attach to it
   * @param fingerprint a digest of the body, the same for equal bodies under different keys
   * @param alone whether the back end must run no other request at the same time
   * @param call the request to send to the back end
   * @param traceparent the W3C trace context; empty if none
   */
  record Dispatch(
      AttemptId attempt,
      RequestKey key,
      long issuedAtMillis,
      Incarnation sidecar,
      BudgetId budget,
      RequestClassId requestClass,
      UpstreamId upstream,
      Urgency urgency,
      long reservedTokens,
      long maxOutputTokens,
      long remainingMillis,
      boolean retained,
      String fingerprint,
      boolean alone,
      HttpCall call,
      String traceparent)
      implements Message {}

  /** The first frame of an answer: status and headers. Its sequence number is 0. */
  record AnswerHead(AttemptId attempt, int status, List<Header> headers) implements Message {}

  /**
   * A part of the body of an answer: the data of one server-sent event of a model engine, or some
   * bytes of the body of a plain service.
   *
   * @param sequence the sequence number of the frame within the answer, starting at 1
   */
  record AnswerChunk(AttemptId attempt, long sequence, byte[] data) implements Message {}

  /**
   * The last frame of an answer.
   *
   * @param count the number of chunks, so that the receiver can detect missing ones
   * @param complete whether the answer is complete
   * @param promptTokens the number of prompt tokens consumed
   * @param outputTokens the number of output tokens consumed
   * @param error the error code if the answer is incomplete; null if it is complete
   * @param message the error message; empty if the answer is complete
   */
  record AnswerEnd(
      AttemptId attempt,
      long count,
      boolean complete,
      long promptTokens,
      long outputTokens,
      ErrorCode error,
      String message)
      implements Message {}

  /**
   * Reports that the sidecar did not accept an attempt, or cannot tell whether it ran.
   *
   * @param message the error message
   * @param runState whether the attempt ran, as far as the sidecar knows
   * @param retryAfterMillis the delay before a retry is useful, in milliseconds; 0 if unknown
   */
  record Refused(
      AttemptId attempt, ErrorCode code, String message, RunState runState, long retryAfterMillis)
      implements Message {}

  /** Acknowledges that the router has forwarded all frames before {@code nextSequence}. */
  record AnswerAck(AttemptId attempt, long nextSequence) implements Message {}

  /**
   * Cancels an attempt because its caller has disconnected. The attempt is stopped if the back end
   * supports it.
   */
  record Cancel(AttemptId attempt) implements Message {}

  /**
   * Requests the frames of an answer, starting at a sequence number, on this connection.
   *
   * @param fromSequence the sequence number of the first frame to send; 0 includes the head
   */
  record Attach(AttemptId attempt, long fromSequence) implements Message {}

  /**
   * Queries the state of a request.
   *
   * @param queryId the id of the query, repeated in its {@link CallStatus}
   * @param key the key of the request
   * @param attempt the attempt to look up; null for any attempt of the request
   * @param plantTombstone whether the sidecar must refuse the attempt or request from now on if it
   *     has not received it
   */
  record CallQuery(long queryId, RequestKey key, AttemptId attempt, boolean plantTombstone)
      implements Message {}

  /**
   * The response to a {@link CallQuery}.
   *
   * @param queryId the id of the query
   * @param state the state of the request
   * @param attempt the attempt that was found; null if none was
   */
  record CallStatus(long queryId, CallState state, AttemptId attempt) implements Message {}
}

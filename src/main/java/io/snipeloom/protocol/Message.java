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

/** A message between a router and a sidecar. Each message travels in one frame. */
public sealed interface Message {

  /**
   * Opens a connection, in both directions.
   *
   * @param version the protocol version of the sender
   * @param sender the incarnation of the sender
   * @param nonce random bytes that the receiver must sign
   */
  record Hello(int version, Incarnation sender, byte[] nonce) implements Message {}

  /** Proves knowledge of the shared key by signing the nonce of the peer. */
  record Proof(byte[] signature) implements Message {}

  /**
   * Keeps the connection alive and reports load.
   *
   * @param running requests at the back end
   * @param queued requests that wait at the sidecar
   * @param capacity requests that the back end runs at once
   */
  record Heartbeat(int running, int queued, int capacity) implements Message {}

  /** The sidecar is leaving: it takes no new work but finishes what it has. */
  record Leaving() implements Message {}

  /**
   * Hands an attempt to a sidecar.
   *
   * @param attempt the attempt
   * @param key the request
   * @param issuedAtMillis the issue time of the request, in milliseconds since the epoch
   * @param sidecar the incarnation that must run it; any other refuses
   * @param budget the budget that pays
   * @param requestClass the request class
   * @param upstream the upstream
   * @param urgency how the request is queued
   * @param reservedTokens the most tokens that the attempt may consume
   * @param maxOutputTokens the most tokens that the answer may have
   * @param remainingMillis the time left until the deadline, in milliseconds
   * @param retained whether the answer is kept for a repeat of the request
   * @param fingerprint a digest of the body, equal for repeats under other keys
   * @param alone whether the attempt must run with no neighbour in its batch
   * @param call the HTTP call to make
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

  /** The first frame of an answer, with sequence 0. */
  record AnswerHead(AttemptId attempt, int status, List<Header> headers) implements Message {}

  /**
   * A part of an answer: for a model engine the data of one server-sent event, for a plain service
   * a run of body bytes.
   *
   * @param attempt the attempt
   * @param sequence the number of the frame within the answer, from 1
   * @param data the data
   */
  record AnswerChunk(AttemptId attempt, long sequence, byte[] data) implements Message {}

  /**
   * The last frame of an answer.
   *
   * @param attempt the attempt
   * @param count the number of chunks, so that a receiver detects a missing one
   * @param complete whether the answer is whole
   * @param promptTokens the prompt tokens consumed
   * @param outputTokens the output tokens consumed
   * @param error the error code of an incomplete answer; null if complete
   * @param message the error text; empty if complete
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
   * The sidecar did not take the attempt, or cannot tell.
   *
   * @param attempt the attempt
   * @param code the error code
   * @param message the error text
   * @param runState whether the attempt ran
   * @param retryAfterMillis when a new try makes sense, in milliseconds; 0 if unknown
   */
  record Refused(
      AttemptId attempt, ErrorCode code, String message, RunState runState, long retryAfterMillis)
      implements Message {}

  /** The router has passed on all chunks before this sequence number. */
  record AnswerAck(AttemptId attempt, long nextSequence) implements Message {}

  /** The caller has gone; the attempt is stopped where the back end can stop it. */
  record Cancel(AttemptId attempt) implements Message {}

  /**
   * Asks for the frames of an attempt from a sequence number on, on this connection.
   *
   * @param attempt the attempt
   * @param fromSequence the first sequence wanted; 0 includes the head
   */
  record Attach(AttemptId attempt, long fromSequence) implements Message {}

  /**
   * Asks what became of a request.
   *
   * @param queryId echoed in the answer
   * @param key the request
   * @param attempt the attempt asked about; null for any attempt of the request
   * @param plantTombstone whether an attempt never received must be refused from now on
   */
  record CallQuery(long queryId, RequestKey key, AttemptId attempt, boolean plantTombstone)
      implements Message {}

  /**
   * Answers a {@link CallQuery}.
   *
   * @param queryId the number of the query
   * @param state what became of the request
   * @param attempt the attempt that was found; null if none
   */
  record CallStatus(long queryId, CallState state, AttemptId attempt) implements Message {}
}

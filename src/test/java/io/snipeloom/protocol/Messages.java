package io.snipeloom.protocol;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RequestClassId;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.RunState;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Urgency;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Creates sample messages for tests. */
public final class Messages {
  public static final Incarnation ROUTER = Incarnation.of("router-1#a1");
  public static final Incarnation SIDECAR = Incarnation.of("sidecar-1#s1");
  public static final UpstreamId UPSTREAM = UpstreamId.of("drafting");

  private Messages() {}

  /** Returns an attempt of {@link #ROUTER}. */
  public static AttemptId attempt(long sequence) {
    return AttemptId.of(ROUTER, sequence);
  }

  /** Returns a request key of the sample customer. */
  public static RequestKey key(String token) {
    return RequestKey.of(CustomerId.of("kilimanjaro"), token);
  }

  /** Returns a dispatch whose request key and fingerprint are derived from the sequence number. */
  public static Message.Dispatch dispatch(long sequence, Urgency urgency) {
    return dispatch(attempt(sequence), key("key-" + sequence), urgency, "print-" + sequence);
  }

  /** Returns a dispatch to {@link #SIDECAR}. */
  public static Message.Dispatch dispatch(
      AttemptId attempt, RequestKey key, Urgency urgency, String fingerprint) {
    HttpCall call =
        new HttpCall(
            "POST",
            "/v1/chat/completions",
            List.of(new Header("content-type", "application/json")),
            "{\"model\":\"m\",\"messages\":[]}".getBytes(StandardCharsets.UTF_8));
    return new Message.Dispatch(
        attempt,
        key,
        1_000,
        SIDECAR,
        BudgetId.of("b"),
        RequestClassId.of("c"),
        UPSTREAM,
        urgency,
        120,
        100,
        30_000,
        true,
        fingerprint,
        false,
        call,
        "");
  }

  /** Returns a copy addressed to another sidecar. */
  public static Message.Dispatch withSidecar(Incarnation sidecar, Message.Dispatch dispatch) {
    return copyOf(dispatch, sidecar, dispatch.issuedAtMillis(), dispatch.retained());
  }

  /** Returns a copy whose answer is not retained. */
  public static Message.Dispatch notRetained(Message.Dispatch dispatch) {
    return copyOf(dispatch, dispatch.sidecar(), dispatch.issuedAtMillis(), false);
  }

  /** Returns a copy with another issue time. */
  public static Message.Dispatch withIssuedAt(long millis, Message.Dispatch dispatch) {
    return copyOf(dispatch, dispatch.sidecar(), millis, dispatch.retained());
  }

  /** Returns a copy with another HTTP call. */
  public static Message.Dispatch withCall(HttpCall call, Message.Dispatch dispatch) {
    return new Message.Dispatch(
        dispatch.attempt(),
        dispatch.key(),
        dispatch.issuedAtMillis(),
        dispatch.sidecar(),
        dispatch.budget(),
        dispatch.requestClass(),
        dispatch.upstream(),
        dispatch.urgency(),
        dispatch.reservedTokens(),
        dispatch.maxOutputTokens(),
        dispatch.remainingMillis(),
        dispatch.retained(),
        dispatch.fingerprint(),
        dispatch.alone(),
        call,
        dispatch.traceparent());
  }

  private static Message.Dispatch copyOf(
      Message.Dispatch dispatch, Incarnation sidecar, long issuedAtMillis, boolean retained) {
    return new Message.Dispatch(
        dispatch.attempt(),
        dispatch.key(),
        issuedAtMillis,
        sidecar,
        dispatch.budget(),
        dispatch.requestClass(),
        dispatch.upstream(),
        dispatch.urgency(),
        dispatch.reservedTokens(),
        dispatch.maxOutputTokens(),
        dispatch.remainingMillis(),
        retained,
        dispatch.fingerprint(),
        dispatch.alone(),
        dispatch.call(),
        dispatch.traceparent());
  }

  /** Returns a message of each type, including variants with null fields. */
  public static List<Message> samplesOfAllTypes() {
    byte[] data = "{\"choices\":[]}".getBytes(StandardCharsets.UTF_8);
    return List.of(
        new Message.Hello(1, ROUTER, new byte[16]),
        new Message.Proof(new byte[32]),
        new Message.Heartbeat(1, 2, 3),
        new Message.Leaving(),
        dispatch(7, Urgency.PROMPT),
        new Message.AnswerHead(attempt(7), 200, List.of(new Header("a", "b"))),
        new Message.AnswerChunk(attempt(7), 1, data),
        new Message.AnswerEnd(attempt(7), 1, true, 10, 20, null, ""),
        new Message.AnswerEnd(attempt(7), 1, false, 10, 20, ErrorCode.UPSTREAM_FAILED, "broken"),
        new Message.Refused(attempt(7), ErrorCode.LEAVING, "leaving", RunState.NOT_RUN, 1000),
        new Message.AnswerAck(attempt(7), 3),
        new Message.Cancel(attempt(7)),
        new Message.Attach(attempt(7), 2),
        new Message.CallQuery(1, key("k"), attempt(7), true),
        new Message.CallQuery(2, key("k"), null, false),
        new Message.CallStatus(1, CallState.RUNNING, attempt(7)),
        new Message.CallStatus(2, CallState.NEVER_RECEIVED, null));
  }
}

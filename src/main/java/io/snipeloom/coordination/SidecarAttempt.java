package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.UpstreamKind;
import java.util.concurrent.TimeUnit;

/** An attempt that a sidecar accepted. Not thread-safe. */
final class SidecarAttempt {
  private static final long UNSET = Long.MIN_VALUE;

  private final Message.Dispatch dispatch;
  private final AnswerBuffer buffer;
  private final UsageMeter meter;
  private final long deadlineNanos;
  private BackEndCall call;
  private long startedNanos = UNSET;
  private long endedNanos = UNSET;
  private long unreadSinceNanos = UNSET;
  private String startId = "";
  private boolean broken;
  private boolean ranAlone;

  SidecarAttempt(
      Message.Dispatch dispatch, UpstreamKind kind, SidecarLimits limits, long nowNanos) {
    this.dispatch = dispatch;
    this.buffer = new AnswerBuffer(dispatch.attempt(), limits.windowChunks(), limits.answerBytes());
    this.meter =
        kind == UpstreamKind.MODEL_ENGINE
            ? UsageMeter.ofTokens(dispatch.reservedTokens(), dispatch.maxOutputTokens())
            : UsageMeter.ofPrice(dispatch.reservedTokens());
    this.deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(dispatch.remainingMillis());
  }

  Message.Dispatch dispatch() {
    return dispatch;
  }

  AttemptId id() {
    return dispatch.attempt();
  }

  Incarnation holder() {
    return dispatch.attempt().holder();
  }

  boolean isRepeatable() {
    return dispatch.urgency().isRepeatable();
  }

  AnswerBuffer buffer() {
    return buffer;
  }

  UsageMeter meter() {
    return meter;
  }

  boolean isExpired(long nowNanos) {
    return nowNanos - deadlineNanos >= 0;
  }

  void start(long nowNanos, boolean alone, String newStartId) {
    startedNanos = nowNanos;
    ranAlone = alone;
    startId = newStartId;
  }

  /**
   * Returns the identifier of the start of the back end during which the attempt was started; empty
   * if it is unknown or the attempt was not started.
   */
  String startId() {
    return startId;
  }

  void setCall(BackEndCall newCall) {
    call = newCall;
  }

  boolean isStarted() {
    return startedNanos != UNSET;
  }

  boolean ranAlone() {
    return ranAlone;
  }

  void cancelCall() {
    if (call != null) {
      call.cancel();
    }
  }

  void end(long nowNanos) {
    endedNanos = nowNanos;
  }

  boolean isEnded() {
    return endedNanos != UNSET;
  }

  boolean hasEndedFor(long nanos, long nowNanos) {
    return isEnded() && nowNanos - endedNanos > nanos;
  }

  long runNanos() {
    return isStarted() && isEnded() ? endedNanos - startedNanos : 0;
  }

  void setBroken() {
    broken = true;
  }

  boolean isBroken() {
    return broken;
  }

  /**
   * Updates the time since which the answer has no reader, and returns whether that time is longer
   * ago than the limit.
   */
  boolean isUnreadFor(long limitNanos, long nowNanos) {
    if (buffer.hasReaders()) {
      unreadSinceNanos = UNSET;
      return false;
    }
    if (unreadSinceNanos == UNSET) {
      unreadSinceNanos = nowNanos;
    }
    return nowNanos - unreadSinceNanos > limitNanos;
  }
}

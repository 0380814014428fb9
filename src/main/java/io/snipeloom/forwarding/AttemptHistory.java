package io.snipeloom.forwarding;

import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.Route;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The attempts of one request so far: where it was sent, and whether it may have been executed. Not
 * thread-safe.
 */
final class AttemptHistory {
  private final List<ReplicaId> tried = new ArrayList<>();
  private int sends;
  private int possibleRuns;
  private int connectFailures;
  private boolean mayHaveRun;
  private boolean interrupted;

  /** Records that the request is sent to a replica. */
  void onSent() {
    sends++;
  }

  /** Records that a replica has produced a response, or a part of one. */
  void onExecuted() {
    mayHaveRun = true;
  }

  /** Records that a replica has responded completely. */
  void onCompleted(ReplicaId replica) {
    mayHaveRun = true;
    tried.add(replica);
  }

  /** Records that an attempt failed. */
  void onFailed(ReplicaId replica, AttemptFailure failure) {
    tried.add(replica);
    if (failure == AttemptFailure.NOT_CONNECTED) {
      connectFailures++;
    }
    if (failure.mayHaveRun()) {
      possibleRuns++;
      mayHaveRun = true;
      interrupted |= failure != AttemptFailure.ERROR_ANSWER;
    }
  }

  /** Records that an attempt that was sent was stopped before its response was complete. */
  void onStopped() {
    mayHaveRun = true;
    interrupted = true;
  }

  /** Records that a response was cut off after it had begun. */
  void onCutOff() {
    interrupted = true;
  }

  /** Returns the replicas of all attempts that completed or failed, in order. */
  List<ReplicaId> tried() {
    return Collections.unmodifiableList(tried);
  }

  /** Returns how often the request was sent to a replica. */
  int sends() {
    return sends;
  }

  /** Returns whether a replica may have executed the request. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether a replica may have produced more than arrived. */
  boolean isInterrupted() {
    return interrupted;
  }

  /** Returns whether replicas could be reached but did not execute the request. */
  boolean isRefusedByReplicas() {
    return sends > 0 && connectFailures == 0;
  }

  /**
   * Returns whether the request may be retried on another replica.
   *
   * @param route the route of the request
   * @param failure how the last attempt failed, which has been recorded
   * @param remainingMillis the time until the deadline, in milliseconds
   */
  boolean mayRetry(Route route, AttemptFailure failure, long remainingMillis) {
    return RetryRules.mayRetry(
        route, failure, possibleRuns, sends, connectFailures, remainingMillis);
  }

  /**
   * Returns whether the request may be retried if the replica of the current attempt stays silent.
   *
   * @param route the route of the request
   * @param remainingMillis the time until the deadline, in milliseconds
   */
  boolean mayRetryAfterSilence(Route route, long remainingMillis) {
    return RetryRules.mayRetry(
        route, AttemptFailure.SILENT, possibleRuns + 1, sends, connectFailures, remainingMillis);
  }
}

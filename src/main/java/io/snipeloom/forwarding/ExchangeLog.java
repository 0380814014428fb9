package io.snipeloom.forwarding;

import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.spend.ReserveOutcome;
import io.snipeloom.spend.SpendStatus;
import io.snipeloom.state.CustomerId;
import io.snipeloom.telemetry.EventLog;
import java.util.List;

/** Writes the lines of one request, all with its id. Belongs to the event loop of its exchange. */
final class ExchangeLog {
  private final EventLog log;
  private String id = "";

  ExchangeLog(EventLog log) {
    this.log = log;
  }

  /** Names the request once its headers have been decoded. */
  void identify(String attemptId) {
    id = attemptId;
  }

  /** Logs that the tokens of a request could not be reserved. */
  void tokensRefused(
      CustomerId customer,
      ReserveOutcome outcome,
      long tokens,
      SpendStatus standing,
      boolean storeAnswers) {
    log.log(
        "tokens_refused",
        "id",
        id,
        "customer",
        customer,
        "outcome",
        outcome,
        "wanted",
        tokens,
        "in_hand",
        standing.availableTokens(),
        "allowed",
        standing.allowed(),
        "claimed",
        standing.claimed(),
        "limit",
        standing.limit(),
        "ledger_age_ms",
        standing.ageMillis(),
        "store_answers",
        storeAnswers);
  }

  /** Logs that a replica gets the request, and what was believed of it. */
  void sent(ReplicaView view, long unreadTokens, long nowNanos, long leftMillis) {
    log.log(
        "sent",
        "id",
        id,
        "replica",
        view.replica().id(),
        "unread_tokens",
        unreadTokens,
        "in_flight",
        view.load().inFlight(),
        "others_running",
        view.load().othersRunning(nowNanos),
        "report_age_ms",
        view.load().reportAgeMillis(nowNanos),
        "error_share",
        view.health().errorShare(),
        "left_ms",
        leftMillis);
  }

  /** Logs that an answer of another request was skipped. */
  void foreignAnswer(ReplicaId replica, String answerId, int status) {
    log.log(
        "foreign_answer", "id", id, "replica", replica, "answer_id", answerId, "status", status);
  }

  /** Logs that an attempt is stopped although its replica might still answer. */
  void cancelled(ReplicaId replica, String reason) {
    log.log("cancelled", "id", id, "replica", replica, "reason", reason);
  }

  /** Logs that an attempt failed, and whether another replica gets the request. */
  void attemptFailed(
      ReplicaId replica,
      AttemptFailure failure,
      String reason,
      int sends,
      long leftMillis,
      boolean again) {
    log.log(
        "attempt_failed",
        "id",
        id,
        "replica",
        replica,
        "failure",
        failure,
        "reason",
        reason,
        "sends",
        sends,
        "left_ms",
        leftMillis,
        "again",
        again);
  }

  /** Logs the final answer. */
  void request(Summary summary) {
    log.log(
        "request",
        "id",
        id,
        "customer",
        summary.customer(),
        "route",
        summary.route(),
        "configuration",
        summary.configuration(),
        "outcome",
        summary.outcome(),
        "status",
        summary.status(),
        "reason",
        summary.reason(),
        "sends",
        summary.sends(),
        "replicas",
        summary.replicas(),
        "tokens",
        summary.tokens(),
        "first_ms",
        summary.firstByteMillis(),
        "ms",
        summary.millis());
  }

  /**
   * What is known of a request at its end.
   *
   * @param customer the customer, empty if unknown
   * @param route the route, empty if none was found
   * @param configuration the version of the configuration, 0 if none was known
   * @param outcome the outcome
   * @param status the HTTP status, 0 if there was no answer of its own
   * @param reason the reason in a few words, empty if it was served
   * @param sends the replicas that got it
   * @param replicas the replicas in their order
   * @param tokens the tokens that it consumed
   * @param firstByteMillis the time until the first byte of the answer, in milliseconds; -1 if none
   * @param millis the time until the end, in milliseconds
   */
  record Summary(
      String customer,
      String route,
      long configuration,
      String outcome,
      int status,
      String reason,
      int sends,
      List<ReplicaId> replicas,
      long tokens,
      long firstByteMillis,
      long millis) {}
}

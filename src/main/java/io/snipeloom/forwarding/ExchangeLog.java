package io.snipeloom.forwarding;

import io.snipeloom.admission.AdmissionReview;
import io.snipeloom.buffering.Buffers;
import io.snipeloom.buffering.ResponseBuffer;
import io.snipeloom.buffering.StopReason;
import io.snipeloom.resumption.OriginLookup;
import io.snipeloom.resumption.StreamOrigin;
import io.snipeloom.routing.ColdReport;
import io.snipeloom.routing.PeerDemand;
import io.snipeloom.routing.PromptPart;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.routing.StatedLimit;
import io.snipeloom.routing.StatedPause;
import io.snipeloom.spend.ReserveOutcome;
import io.snipeloom.spend.SpendStatus;
import io.snipeloom.state.CustomerId;
import io.snipeloom.telemetry.EventLog;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Writes the log lines of one request, each with its attempt ID. Confined to the event loop thread.
 */
final class ExchangeLog {
  private static final double PERCENT = 100;

  private final EventLog log;
  private String id = "";
  private String request = "";
  private boolean stopLogged;

  ExchangeLog(EventLog log) {
    this.log = log;
  }

  /** Sets the attempt ID, which is known once the request headers are decoded. */
  void setAttemptId(String attemptId) {
    id = attemptId;
  }

  /** Sets the identifier of the request, which is the same for each attempt of the caller. */
  void setRequest(String identifier) {
    request = identifier;
  }

  /** Logs that the tokens of a request could not be reserved. */
  void tokensRefused(
      CustomerId customer,
      ReserveOutcome outcome,
      long tokens,
      SpendStatus status,
      boolean storeAvailable) {
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
        status.availableTokens(),
        "allowed",
        status.allowedTokens(),
        "reserved",
        status.reservedTokens(),
        "claimed",
        status.claimedTokens(),
        "limit",
        status.limit(),
        "ledger_age_ms",
        status.ageMillis(),
        "store_answers",
        storeAvailable);
  }

  /** Logs what began the stream that a caller resumes, or that nothing tells it. */
  void streamOrigin(String resumedAttempt, OriginLookup lookup) {
    log.log(
        "stream_origin",
        "id",
        id,
        "resumes",
        resumedAttempt,
        "service",
        lookup.origin().map(StreamOrigin::service).orElse(""),
        "version",
        lookup.origin().map(found -> found.version().value()).orElse(""),
        "source",
        lookup.source());
  }

  /** Logs that a replica says that it is cold. */
  void replicaCold(ReplicaId replica, ColdReport report) {
    log.log(
        "replica_cold",
        "id",
        id,
        "replica",
        replica,
        "kind",
        report.kind(),
        "cold_ms",
        report.millis());
  }

  /** Logs that a request is sent to a replica that is cold or was a moment ago. */
  void sentToCold(ReplicaId replica, long coldMillis) {
    log.log("sent_to_cold", "id", id, "replica", replica, "cold_ms", coldMillis);
  }

  /** Logs that a request is refused under load, or sent although it would be. */
  void admission(RoutedRequest routed, AdmissionReview review, long remainingMillis) {
    log.log(
        "admission",
        "id",
        id,
        "outcome",
        review.outcome(),
        "route",
        routed.route().name(),
        "customer",
        routed.customerText(),
        "priority",
        routed.priority(),
        "first_ms",
        Math.round(review.firstMillis()),
        "end_ms",
        Math.round(review.endMillis()),
        "target_ms",
        routed.route().targetMillis(),
        "left_ms",
        remainingMillis,
        "strain",
        review.strain(),
        "excess",
        review.excess(),
        "age_ms",
        review.ageMillis(),
        "retry_ms",
        review.decision().retryMillis());
  }

  /** Logs that a request is sent to a replica, with the estimated state of the replica. */
  void sent(
      ReplicaView view,
      ClientConnection connection,
      ResumePosition position,
      List<PromptPart> sharedParts,
      long uncachedTokens,
      PeerDemand peers,
      CallerRequest read,
      long nowNanos,
      long remainingMillis) {
    log.log(
        "sent",
        "id",
        id,
        "request",
        request,
        "replica",
        view.replica().id(),
        "version",
        view.replica().version(),
        "connection",
        connection.number(),
        "connection_requests",
        connection.requests(),
        "resumes",
        position.attempt(),
        "after_event",
        position.lastEventId(),
        "shared_parts",
        sharedParts.stream().map(PromptPart::id).collect(Collectors.joining(",")),
        "unread_tokens",
        uncachedTokens,
        "in_flight",
        view.load().inFlight(),
        "others_running",
        view.load().othersRunning(nowNanos),
        "report_age_ms",
        view.load().reportAgeMillis(nowNanos),
        "peers_in_flight",
        peers.inFlight(view.replica().id()),
        "peers_pending_tokens",
        peers.pendingTokens(view.replica().id()),
        "peers_reporting",
        peers.reporters(),
        "error_share",
        view.health().errorShare(),
        "waited_ms",
        read.ageMillis(nowNanos),
        "loop_delay_ms",
        read.loopDelayMillis(),
        "left_ms",
        remainingMillis);
  }

  /** Logs what a model request cost, and what was predicted when it was sent. */
  void cost(ReplicaId replica, CostOutcome cost) {
    log.log(
        "cost",
        "id",
        id,
        "replica",
        replica,
        "route",
        cost.route(),
        "estimated_tokens",
        cost.estimatedTokens(),
        "tokens",
        cost.tokens(),
        "predicted",
        cost.predicted().known(),
        "predicted_first_ms",
        Math.round(cost.predicted().firstEventMillis()),
        "first_ms",
        cost.firstEventMillis(),
        "predicted_end_ms",
        Math.round(cost.predicted().endMillis()),
        "fits",
        cost.predicted().fits(),
        "pace_percent",
        Math.round(cost.pace() * PERCENT),
        "reports_age_ms",
        cost.predicted().ageMillis());
  }

  /** Logs that a response to another request was skipped. */
  void foreignResponse(
      ReplicaId replica, ClientConnection connection, Set<String> attemptIds, int status) {
    log.log(
        "foreign_answer",
        "id",
        id,
        "replica",
        replica,
        "connection",
        connection.number(),
        "connection_requests",
        connection.requests(),
        "answer_id",
        String.join(",", attemptIds),
        "status",
        status);
  }

  /**
   * Logs that a replica refused without naming the request, so that its connection is not reused.
   */
  void unnamedRefusal(ReplicaId replica, int refusalStatus) {
    log.log("unnamed_refusal", "id", id, "replica", replica, "status", refusalStatus);
  }

  /** Logs that a replica said for the first time that it is leaving. */
  void replicaLeaving(ReplicaId replica) {
    log.log("replica_leaving", "id", id, "replica", replica);
  }

  /** Logs that a replica that rejected a request said how long it wants no other. */
  void replicaPauses(ReplicaId replica, StatedPause pause) {
    log.log(
        "replica_pauses",
        "id",
        id,
        "replica",
        replica,
        "stated",
        pause.kind(),
        "millis",
        pause.millis());
  }

  /** Logs that a replica stated another limit than before. */
  void replicaLimit(ReplicaId replica, StatedLimit before, StatedLimit now) {
    log.log(
        "replica_limit",
        "id",
        id,
        "replica",
        replica,
        "limit",
        now.kind(),
        "per_second",
        now.perSecond(),
        "before",
        before.perSecond());
  }

  /** Logs once that a response is not read for now, since too much is held. */
  void readingStopped(ResponseBuffer buffer, Buffers buffers) {
    if (stopLogged) {
      return;
    }
    stopLogged = true;
    log.log(
        "response_stopped",
        "id",
        id,
        "reason",
        buffer.stopReason().map(StopReason::name).orElse(""),
        "customer",
        buffer.customer().map(CustomerId::value).orElse(""),
        "unread_bytes",
        buffer.queuedBytes(),
        "caller_bytes",
        buffer.heldBytes(),
        "customer_bytes",
        buffer.customer().map(buffers.responses()::heldBytes).orElse(0L),
        "held_bytes",
        buffers.responses().heldBytes(),
        "bound_bytes",
        buffers.bounds().responseBytes());
  }

  /** Logs that an attempt was cancelled although its replica might still respond. */
  void cancelled(ReplicaId replica, String reason) {
    log.log("cancelled", "id", id, "replica", replica, "reason", reason);
  }

  /** Logs that an attempt failed, and whether the request is retried. */
  void attemptFailed(
      ReplicaId replica,
      AttemptFailure failure,
      String reason,
      ResponseProgress progress,
      int sends,
      long replicaBodyBytes,
      long remainingMillis,
      boolean retry) {
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
        "framing",
        progress.framing(),
        "events",
        progress.events(),
        "partial_bytes",
        progress.partialBytes(),
        "sends",
        sends,
        "replica_body_bytes",
        replicaBodyBytes,
        "left_ms",
        remainingMillis,
        "again",
        retry);
  }

  /** Logs the end of the request. */
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
        "framing",
        summary.progress().framing(),
        "events",
        summary.progress().events(),
        "partial_bytes",
        summary.progress().partialBytes(),
        "tokens",
        summary.tokens(),
        "first_ms",
        summary.firstByteMillis(),
        "ms",
        summary.millis());
  }

  /**
   * The result of a request.
   *
   * @param customer the customer, empty if unknown
   * @param route the name of the route, empty if none matched
   * @param configuration the version of the configuration, 0 if there was none
   * @param outcome {@code served}, or why the request was not served
   * @param status the HTTP status code, 0 if no complete response was sent
   * @param reason a description of the failure, empty if the request was served
   * @param sends how often the request was sent to a replica
   * @param replicas the replicas of all attempts that completed or failed, in order
   * @param progress how far the response of the last attempt had come when it ended
   * @param tokens the tokens counted as consumed
   * @param firstByteMillis the time from the arrival of the request to the first byte of the
   *     response, in milliseconds; -1 if there was none
   * @param millis the time from the arrival of the request to its end, in milliseconds
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
      ResponseProgress progress,
      long tokens,
      long firstByteMillis,
      long millis) {}
}

package io.snipeloom.forwarding;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.snipeloom.admission.AdmissionDecision;
import io.snipeloom.admission.AdmissionReview;
import io.snipeloom.crashes.Admission;
import io.snipeloom.crashes.Conviction;
import io.snipeloom.resumption.StreamOrigin;
import io.snipeloom.routing.CustomerConfiguration;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.routing.RequestMetadata;
import io.snipeloom.routing.Route;
import io.snipeloom.spend.ReserveOutcome;
import io.snipeloom.spend.SpendStatus;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.telemetry.FleetMetrics;
import java.util.Optional;

/**
 * Decides whether a request may be sent to a replica at all.
 *
 * <p>The steps are: find the route and the customer, refuse requests whose like crash replicas,
 * find the origin of a stream that the caller resumes, refuse what cannot be served in time, and
 * reserve tokens. Confined to the event loop thread.
 */
final class RequestEntry {
  /** The reason if the instance shuts down before the request could end. */
  static final String SHUTDOWN_REASON = "the instance shuts down before the request could end";

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Fleet fleet;
  private final ExchangeLog log;
  private final FleetMetrics metrics;
  private final CallerRequest request;
  private final RelayedStream stream;
  private final Listener listener;
  private RequestMetadata metadata;
  private RoutedRequest routed;
  private boolean onTrial;
  private ExchangeAdmission admission;
  private Reservation reservation;
  private boolean ended;

  /** Receives the decision: one of the methods but the first is called, at most once. */
  interface Listener {

    /** Called before the decision, once the route and the deadline of the request are known. */
    void onRouted(RoutedRequest routed);

    /** Called when the request may be sent. */
    void onAccepted();

    /** Called when the request is refused. */
    void onRefused(LocalResponse refusal);

    /** Called when the request is refused because requests like it crash replicas. */
    void onConvicted(Conviction conviction);
  }

  /**
   * Creates the entry of a request.
   *
   * @param fleet the configuration and the replicas
   * @param log the log lines of the request
   * @param metrics the request metrics
   * @param request the request
   * @param stream the stream of the request, which is set to go on if the caller resumes it
   * @param listener receives the decision
   */
  RequestEntry(
      Fleet fleet,
      ExchangeLog log,
      FleetMetrics metrics,
      CallerRequest request,
      RelayedStream stream,
      Listener listener) {
    this.fleet = fleet;
    this.log = log;
    this.metrics = metrics;
    this.request = request;
    this.stream = stream;
    this.listener = listener;
  }

  /** Starts to decide; the listener may be called before this method returns. */
  void start() {
    Optional<FleetConfiguration> current = fleet.configuration();
    if (current.isEmpty()) {
      listener.onRefused(
          LocalResponse.notExecuted(
              ErrorCode.NOT_READY,
              "no configuration has been received yet",
              LocalResponse.STARTUP_RETRY_MILLIS,
              Long.MAX_VALUE));
      return;
    }
    FleetConfiguration configuration = current.get();
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    Optional<Route> route = configuration.route(host, request.path());
    if (route.isEmpty()) {
      listener.onRefused(
          LocalResponse.of(ErrorCode.NOT_FOUND, "no route matches the host and path"));
      return;
    }
    enter(configuration, route.get());
  }

  private void enter(FleetConfiguration configuration, Route route) {
    metadata = fleet.codec().requestMetadata(request.headers());
    log.setAttemptId(metadata.attemptId());
    routed = RoutedRequest.of(configuration, route, metadata, request, Math.random());
    listener.onRouted(routed);
    if (routed.isUnauthenticated()) {
      listener.onRefused(LocalResponse.of(ErrorCode.UNAUTHENTICATED, "unknown API key"));
      return;
    }
    if (!routed.customer().map(CustomerConfiguration::name).map(this::canSend).orElse(true)) {
      metrics.count("refused_for_customer_name");
      refuse(
          ErrorCode.NOT_READY,
          "the name of the customer cannot be sent in a header",
          LocalResponse.OUTAGE_RETRY_MILLIS);
      return;
    }
    if (!fleet.shutdown().maySend(routed, System.nanoTime())) {
      metrics.count("refused_for_shutdown");
      refuse(ErrorCode.NOT_READY, SHUTDOWN_REASON, LocalResponse.SHUTDOWN_RETRY_MILLIS);
      return;
    }
    log.setRequest(routed.traits().request().value());
    fleet.crashes().admit(routed.traits(), System.nanoTime(), this::onAdmission);
  }

  private boolean canSend(String customer) {
    return fleet.codec().canSend(customer);
  }

  /** Ends the wait for a decision; the listener is not called any more. */
  void end() {
    ended = true;
  }

  /** Returns the attempt ID of the request, empty if unknown. */
  String attemptId() {
    return metadata == null ? "" : metadata.attemptId();
  }

  /** Returns the metadata in the headers of the request, which has been routed. */
  RequestMetadata metadata() {
    return metadata;
  }

  /** Returns whether the route of the request is known. */
  boolean isRouted() {
    return routed != null;
  }

  /** Returns the request with its route and service, which are known. */
  RoutedRequest routed() {
    return routed;
  }

  /** Returns whether the request is sent to find out whether it crashes replicas. */
  boolean isTrial() {
    return onTrial;
  }

  /** Returns the tokens that are reserved, empty if none are needed. */
  Optional<Reservation> reservation() {
    return Optional.ofNullable(reservation);
  }

  /** Returns the admission under load, empty if it was not decided about. */
  Optional<ExchangeAdmission> admission() {
    return Optional.ofNullable(admission);
  }

  private void onAdmission(Admission decision) {
    if (ended) {
      return;
    }
    onTrial = decision.trial();
    if (decision.conviction().isPresent()) {
      listener.onConvicted(decision.conviction().get());
    } else if (routed.resumesStream()) {
      new ResumedStream(fleet.streams(), routed, log, metrics)
          .find(System.nanoTime(), this::resume, this::refuseToResume);
    } else if (!isRefusedUnderLoad()) {
      reserveTokens();
    }
  }

  private boolean isRefusedUnderLoad() {
    admission = new ExchangeAdmission(fleet, routed, System.nanoTime());
    Optional<AdmissionReview> review = admission.review().filter(AdmissionReview::isSpecial);
    if (review.isEmpty()) {
      return false;
    }
    AdmissionDecision decision = review.get().decision();
    log.admission(routed, review.get(), remainingMillis());
    metrics.count("admission_" + review.get().outcome());
    if (!decision.admitted()) {
      refuse(ErrorCode.OVERLOADED, decision.reason(), decision.retryMillis());
    }
    return !decision.admitted();
  }

  private void resume(StreamOrigin origin) {
    if (!ended) {
      stream.resumeFrom(origin, metadata.lastEventId());
      routed = routed.withService(origin.service());
      reserveTokens();
    }
  }

  private void refuseToResume(String reason) {
    if (!ended) {
      long retryMillis =
          fleet.isStoreAvailable()
              ? LocalResponse.CRASH_RETRY_MILLIS
              : LocalResponse.OUTAGE_RETRY_MILLIS;
      refuse(ErrorCode.NO_UPSTREAM, reason, retryMillis);
    }
  }

  private void reserveTokens() {
    if (!routed.isPrepaid()) {
      listener.onAccepted();
      return;
    }
    reservation = new Reservation(fleet, routed.customer().get().id(), metadata.prompt().get());
    long requestedNanos = System.nanoTime();
    reservation.request(
        outcome -> {
          metrics.reservation((System.nanoTime() - requestedNanos) / NANOS_PER_MILLI);
          onReserved(outcome);
        });
  }

  private void onReserved(ReserveOutcome outcome) {
    if (outcome == ReserveOutcome.RESERVED) {
      listener.onAccepted();
      return;
    }
    log.tokensRefused(
        reservation.customer(),
        outcome,
        reservation.tokens(),
        reservation.status(),
        fleet.isStoreAvailable());
    if (outcome == ReserveOutcome.EXHAUSTED) {
      listener.onRefused(
          LocalResponse.of(
              ErrorCode.BUDGET_EXHAUSTED, "the remaining prepaid tokens do not cover the request"));
    } else {
      refuse(
          ErrorCode.BUDGET_UNAVAILABLE,
          "prepaid tokens cannot be claimed at the moment",
          isUnclaimed(reservation.status()) || fleet.isOverloaded()
              ? LocalResponse.spread(LocalResponse.OTHER_INSTANCE_RETRY_MILLIS, Math.random())
              : LocalResponse.OUTAGE_RETRY_MILLIS);
    }
  }

  /** Returns whether an instance that reaches the store sooner can claim the tokens at once. */
  private boolean isUnclaimed(SpendStatus status) {
    long unclaimed = status.limit() - status.claimedTokens();
    return fleet.isStoreAvailable() && unclaimed >= reservation.tokens();
  }

  /** Refuses the request as not executed, with a time to come back. */
  private void refuse(ErrorCode code, String reason, long retryMillis) {
    listener.onRefused(LocalResponse.notExecuted(code, reason, retryMillis, remainingMillis()));
  }

  private long remainingMillis() {
    return routed.remainingMillis(System.nanoTime());
  }
}

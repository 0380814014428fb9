package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import io.snipeloom.crashes.Admission;
import io.snipeloom.crashes.Conviction;
import io.snipeloom.crashes.RequestTrait;
import io.snipeloom.crashes.RequestTraits;
import io.snipeloom.resumption.OriginLookup;
import io.snipeloom.resumption.StreamOrigin;
import io.snipeloom.routing.CustomerConfiguration;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.routing.ForwardMetadata;
import io.snipeloom.routing.Prompt;
import io.snipeloom.routing.PromptPart;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.routing.RequestMetadata;
import io.snipeloom.routing.Route;
import io.snipeloom.spend.ReserveOutcome;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/**
 * Processes one request from its arrival to its final response.
 *
 * <p>The steps are: find the route and the customer, reserve tokens, send the request to a replica,
 * relay the response, and retry on another replica if that is allowed. Confined to the event loop
 * thread.
 */
final class Exchange implements Attempt.Owner {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * The number of further events that are counted as consumed when an attempt is interrupted. The
   * replica may have produced them although they did not arrive.
   */
  private static final int MAX_UNRECEIVED_EVENTS = 8;

  private static final int MAX_PRIORITY = 9;

  private final EventLoop loop;
  private final Fleet fleet;
  private final CrashDetector crashDetector;
  private final ExchangeLog log;
  private final FleetMetrics metrics;
  private final CallerRequest request;
  private final CallerChannel caller;
  private final Runnable onDone;
  private final List<ReplicaId> tried = new ArrayList<>();
  private final RelayedStream stream = new RelayedStream();

  private RequestMetadata metadata;
  private RequestTraits traits;
  private boolean onTrial;
  private FleetConfiguration configuration;
  private Route route;
  private String service;
  private Optional<CustomerConfiguration> customer = Optional.empty();
  private Reservation reservation;
  private long deadlineNanos;
  private ScheduledFuture<?> deadlineTimer;
  private Attempt attempt;
  private ResponseProgress progress = ResponseProgress.NONE;
  private long firstByteMillis = -1;
  private int sends;
  private int possibleRuns;
  private int connectFailures;
  private boolean mayHaveRun;
  private boolean interrupted;

  /** How long it takes until a replica accepts requests again; 0 unless all of them reject. */
  private long lackMillis;

  private boolean headSent;
  private boolean done;

  Exchange(
      EventLoop loop,
      Fleet fleet,
      CrashDetector crashDetector,
      EventLog log,
      FleetMetrics metrics,
      CallerRequest request,
      CallerChannel caller,
      Runnable onDone) {
    this.loop = loop;
    this.fleet = fleet;
    this.crashDetector = crashDetector;
    this.log = new ExchangeLog(log);
    this.metrics = metrics;
    this.request = request;
    this.caller = caller;
    this.onDone = onDone;
  }

  /** Starts processing the request. */
  void start() {
    try {
      admit();
    } catch (SnipeloomException e) {
      respond(LocalResponse.of(e.code(), e.getMessage()));
    }
  }

  /** Cancels the request because its caller disconnected. */
  void onCallerGone() {
    if (!done) {
      if (attempt != null) {
        attempt.abandon();
      }
      stopAttempt("caller disconnected");
      finish("caller_gone", 0, "");
    }
  }

  /** Ends the request if requests like it are refused by now and its answer has not begun. */
  void refuseIfConvicted() {
    if (done || headSent || traits == null) {
      return;
    }
    Optional<Conviction> conviction = findConviction(onTrial);
    if (conviction.isPresent()) {
      stopAttempt("convicted");
      refuse(conviction.get());
    }
  }

  /** Pauses or resumes reading the response, depending on whether the caller can receive more. */
  void onCallerWritable(boolean writable) {
    if (attempt != null) {
      attempt.setAutoRead(writable);
    }
  }

  private void admit() {
    Optional<FleetConfiguration> current = fleet.configuration();
    if (current.isEmpty()) {
      respond(
          LocalResponse.notExecuted(
              ErrorCode.NOT_READY,
              "no configuration has been received yet",
              LocalResponse.STARTUP_RETRY_MILLIS,
              Long.MAX_VALUE));
      return;
    }
    configuration = current.get();
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    Optional<Route> found = configuration.route(host, request.path());
    if (found.isEmpty()) {
      respond(LocalResponse.of(ErrorCode.NOT_FOUND, "no route matches the host and path"));
      return;
    }
    route = found.get();
    metadata = fleet.codec().requestMetadata(request.headers());
    log.setAttemptId(metadata.attemptId());
    if (!configuration.customers().isEmpty() && !route.anonymous()) {
      customer = metadata.apiKey().flatMap(configuration::customerOf);
      if (customer.isEmpty()) {
        respond(LocalResponse.of(ErrorCode.UNAUTHENTICATED, "unknown API key"));
        return;
      }
    }
    service = route.serviceFor(Math.random());
    scheduleDeadline();
    traits = traitsOfRequest();
    log.setRequest(traits.request().value());
    fleet.crashes().admit(traits, System.nanoTime(), this::onAdmission);
  }

  private RequestTraits traitsOfRequest() {
    RequestTrait identity =
        RequestTrait.ofRequest(
            customer.map(known -> known.id().value()).orElse(""),
            request.method() + " " + request.uri(),
            request.body().nioBuffer());
    List<RequestTrait> parts =
        metadata.prompt().map(Prompt::sharedParts).orElse(List.of()).stream()
            .map(PromptPart::id)
            .filter(id -> !id.isEmpty())
            .map(RequestTrait::ofPart)
            .distinct()
            .toList();
    return new RequestTraits(identity, parts);
  }

  private void onAdmission(Admission admission) {
    if (done) {
      return;
    }
    onTrial = admission.trial();
    if (admission.conviction().isPresent()) {
      refuse(admission.conviction().get());
    } else if (resumesStream()) {
      findOrigin();
    } else {
      reserveTokens();
    }
  }

  private Optional<Conviction> findConviction(boolean tried) {
    return tried ? fleet.crashes().findPart(traits) : fleet.crashes().find(traits);
  }

  private void refuse(Conviction conviction) {
    String reason = conviction.trait() + " crashed replicas " + conviction.crashes() + " times";
    if (mayHaveRun) {
      fail(ErrorCode.UPSTREAM_FAILED, reason);
    } else {
      respond(LocalResponse.convicted(reason, fleet.crashes().mayBeTried(conviction)));
    }
  }

  /** Returns whether the caller goes on with a stream of which it has received events. */
  private boolean resumesStream() {
    return route.isResumableStream() && metadata.lastEventId().isPresent();
  }

  private void findOrigin() {
    long now = System.nanoTime();
    if (metadata.resumedAttempt().isPresent()) {
      fleet.streams().find(metadata.resumedAttempt().get(), now, this::onOriginLookup);
    } else {
      onOriginLookup(fleet.streams().findUnstated(service, now));
    }
  }

  private void onOriginLookup(OriginLookup lookup) {
    if (done) {
      return;
    }
    log.streamOrigin(metadata.resumedAttempt().orElse(""), lookup);
    metrics.count("stream_origin_" + lookup.source().name().toLowerCase(Locale.ROOT));
    Optional<StreamOrigin> found = lookup.origin();
    if (found.isEmpty()) {
      refuseToResume("the origin of the stream is not known");
    } else if (!route.leadsTo(found.get().service())) {
      refuseToResume("the route no longer leads to the service that began the stream");
    } else {
      stream.resumeFrom(found.get());
      service = found.get().service();
      reserveTokens();
    }
  }

  private void refuseToResume(String reason) {
    long retryMillis =
        fleet.isStoreAvailable()
            ? LocalResponse.CRASH_RETRY_MILLIS
            : LocalResponse.OUTAGE_RETRY_MILLIS;
    respond(
        LocalResponse.notExecuted(ErrorCode.NO_UPSTREAM, reason, retryMillis, remainingMillis()));
  }

  private void scheduleDeadline() {
    long limitMillis =
        Math.min(route.timeoutMillis(), metadata.timeoutMillis().orElse(Long.MAX_VALUE));
    deadlineNanos = request.arrivedNanos() + limitMillis * NANOS_PER_MILLI;
    long delayNanos = Math.max(0, deadlineNanos - System.nanoTime());
    deadlineTimer = loop.schedule(this::onDeadline, delayNanos, TimeUnit.NANOSECONDS);
  }

  private void onDeadline() {
    if (done) {
      return;
    }
    if (attempt != null) {
      attempt.lookAtSilentReplica();
      attempt.expire();
    }
    stopAttempt("deadline exceeded");
    fail(ErrorCode.DEADLINE_EXCEEDED, "deadline exceeded");
  }

  private void reserveTokens() {
    boolean prepaid = customer.isPresent() && customer.get().prepaidTokens().isPresent();
    if (!prepaid || metadata.prompt().isEmpty()) {
      dispatch();
      return;
    }
    reservation = new Reservation(fleet, customer.get().id(), metadata.prompt().get());
    long requestedNanos = System.nanoTime();
    reservation.request(
        outcome -> {
          metrics.reservation((System.nanoTime() - requestedNanos) / NANOS_PER_MILLI);
          onReserved(outcome);
        });
  }

  private void onReserved(ReserveOutcome outcome) {
    if (outcome == ReserveOutcome.RESERVED) {
      dispatch();
      return;
    }
    log.tokensRefused(
        reservation.customer(),
        outcome,
        reservation.tokens(),
        reservation.status(),
        fleet.isStoreAvailable());
    if (outcome == ReserveOutcome.EXHAUSTED) {
      respond(
          LocalResponse.of(
              ErrorCode.BUDGET_EXHAUSTED, "the remaining prepaid tokens do not cover the request"));
    } else {
      respond(
          LocalResponse.notExecuted(
              ErrorCode.BUDGET_UNAVAILABLE,
              "prepaid tokens cannot be claimed at the moment",
              LocalResponse.OUTAGE_RETRY_MILLIS,
              remainingMillis()));
    }
  }

  private void dispatch() {
    Optional<Conviction> conviction = findConviction(onTrial && sends == 0);
    if (conviction.isPresent()) {
      refuse(conviction.get());
      return;
    }
    long now = System.nanoTime();
    List<ReplicaView> candidates =
        Fleet.untried(stream.suitable(fleet.availableReplicas(service)), tried);
    Optional<ReplicaView> picked =
        metadata
            .prompt()
            .map(prompt -> fleet.picker().pick(candidates, prompt, now))
            .orElseGet(() -> fleet.picker().pick(candidates, now));
    if (picked.isEmpty()) {
      failForLackOfReplicas(candidates, now);
      return;
    }
    ReplicaView view = picked.get();
    fleet.picker().onPicked(view, now);
    long uncachedTokens =
        metadata
            .prompt()
            .map(prompt -> fleet.picker().uncachedTokens(view, candidates, prompt, now))
            .orElse(0L);
    attempt =
        new Attempt(
            loop,
            fleet,
            request,
            metadata.attemptId(),
            view,
            uncachedTokens,
            log,
            crashDetector,
            this);
    attempt.connect();
  }

  /** Rejects the request, to come back when the first of the replicas takes requests again. */
  private void failForLackOfReplicas(List<ReplicaView> candidates, long nowNanos) {
    long pauseMillis =
        candidates.stream()
            .mapToLong(view -> view.willingness().pauseMillis(nowNanos))
            .min()
            .orElse(0);
    if (candidates.isEmpty()) {
      fail(ErrorCode.NO_UPSTREAM, "no replica accepts requests");
    } else if (pauseMillis > 0) {
      lackMillis = LocalResponse.spread(pauseMillis, Math.random());
      fail(ErrorCode.NO_UPSTREAM, "the replicas want no requests for some time");
    } else {
      lackMillis = LocalResponse.LIMIT_RETRY_MILLIS;
      fail(ErrorCode.NO_UPSTREAM, "the replicas take no more requests a second");
    }
  }

  @Override
  public boolean isCallerWaiting() {
    return !done && caller.isOpen();
  }

  @Override
  public RequestTraits traits() {
    return traits;
  }

  @Override
  public boolean isTrial() {
    return onTrial;
  }

  @Override
  public ForwardMetadata forwardMetadata(ReplicaView view) {
    return new ForwardMetadata(
        view.replica().id(),
        Math.max(1, remainingMillis()),
        customer.map(found -> found.id().value()),
        priority(),
        stream.lastEventId());
  }

  private int priority() {
    OptionalInt customerPriority =
        customer.map(CustomerConfiguration::priority).orElse(OptionalInt.empty());
    return Math.min(MAX_PRIORITY, customerPriority.orElse(route.priority()));
  }

  @Override
  public void onSent(Attempt sent) {
    long now = System.nanoTime();
    sends++;
    if (sends == 1) {
      fleet.retryAllowanceOf(service).onRequest(now);
    }
    metadata
        .prompt()
        .ifPresent(
            prompt -> {
              fleet.picker().recordPrompt(prompt, now);
              fleet.onPromptSent(sent.view(), prompt);
            });
    log.sent(
        sent.view(),
        stream.position(metadata),
        metadata.prompt().map(Prompt::sharedParts).orElse(List.of()),
        sent.uncachedTokens(),
        fleet.picker().peers(),
        now,
        remainingMillis());
  }

  @Override
  public long silenceTimeoutMillis() {
    return RetryRules.silenceTimeoutMillis(route);
  }

  @Override
  public boolean mayRetryAfterSilence() {
    return RetryRules.mayRetry(
        route, AttemptFailure.SILENT, possibleRuns + 1, sends, connectFailures, remainingMillis());
  }

  @Override
  public void onStreamContent(Attempt source, ByteBuf content) {
    ByteBuf complete = stream.append(content);
    if (!complete.isReadable()) {
      return;
    }
    mayHaveRun = true;
    source.onFirstEvent();
    recordOrigin(source);
    sendHeadOnce(source);
    caller.sendContent(complete);
    if (!caller.isWritable()) {
      source.setAutoRead(false);
    }
  }

  private void recordOrigin(Attempt source) {
    Optional<StreamOrigin> begun = stream.onEvents(source.view().replica());
    if (begun.isPresent() && route.isResumableStream()) {
      fleet.streams().onBegun(metadata.attemptId(), begun.get(), System.nanoTime());
    }
  }

  @Override
  public int pendingEventBytes() {
    return stream.pendingEventBytes();
  }

  @Override
  public boolean isStreamComplete(Attempt source) {
    return stream.mayEnd(source.framing());
  }

  @Override
  public void onStreamEnd(Attempt source) {
    onCompleted(source);
    sendHeadOnce(source);
    ByteBuf remainder = stream.takeRemainder();
    if (remainder.isReadable()) {
      caller.sendContent(remainder);
    }
    caller.sendEnd();
    finish("served", source.status(), "");
  }

  @Override
  public void onResponse(Attempt source) {
    onCompleted(source);
    relay(source);
  }

  private void onCompleted(Attempt source) {
    attempt = null;
    progress = stream.progress(source.framing());
    mayHaveRun = true;
    tried.add(source.view().replica().id());
  }

  private void sendHeadOnce(Attempt source) {
    if (!headSent) {
      headSent = true;
      recordFirstByte();
      caller.sendHead(source.status(), source.headersForCaller());
    }
  }

  /** Relays the complete response of a replica to the caller unchanged. */
  private void relay(Attempt source) {
    if (headSent) {
      fail(ErrorCode.UPSTREAM_FAILED, "replica responded with status " + source.status());
      return;
    }
    recordFirstByte();
    caller.sendResponse(source.status(), source.headersForCaller(), source.body());
    finish("served", source.status(), "");
  }

  private void recordFirstByte() {
    firstByteMillis = elapsedMillis();
    metrics.firstByte(firstByteMillis);
  }

  @Override
  public void onFailed(Attempt failed, AttemptFailure failure, String reason) {
    attempt = null;
    tried.add(failed.view().replica().id());
    recordFailure(failure);
    progress = stream.progress(failed.framing());
    long remainingMillis = remainingMillis();
    boolean retry =
        caller.isOpen()
            && RetryRules.mayRetry(
                route, failure, possibleRuns, sends, connectFailures, remainingMillis)
            && (failure == AttemptFailure.NOT_CONNECTED
                || fleet.retryAllowanceOf(service).tryRetry(System.nanoTime()));
    log.attemptFailed(
        failed.view().replica().id(), failure, reason, progress, sends, remainingMillis, retry);
    metrics.count("attempt_failed_" + failure.name().toLowerCase(Locale.ROOT));
    if (retry) {
      stream.beginAttempt();
      dispatch();
    } else if (failure == AttemptFailure.ERROR_ANSWER) {
      relay(failed);
    } else {
      fail(ErrorCode.UPSTREAM_FAILED, reason);
    }
  }

  private void recordFailure(AttemptFailure failure) {
    if (failure == AttemptFailure.NOT_CONNECTED) {
      connectFailures++;
    }
    if (failure.mayHaveRun()) {
      possibleRuns++;
      mayHaveRun = true;
      interrupted |= failure != AttemptFailure.ERROR_ANSWER;
    }
  }

  /**
   * Sends the final response of a request that will not be retried, or truncates a response that
   * has already begun.
   */
  private void fail(ErrorCode code, String reason) {
    if (headSent) {
      interrupted = true;
      caller.abort();
      finish("broken_off", 0, reason);
    } else if (mayHaveRun) {
      ErrorCode reported = code == ErrorCode.DEADLINE_EXCEEDED ? code : ErrorCode.OUTCOME_UNKNOWN;
      respond(LocalResponse.of(reported, reason));
    } else if (code == ErrorCode.DEADLINE_EXCEEDED) {
      respond(LocalResponse.of(code, reason));
    } else {
      respond(
          LocalResponse.notExecuted(
              ErrorCode.NO_UPSTREAM, reason, retryMillis(), remainingMillis()));
    }
  }

  private long retryMillis() {
    if (lackMillis > 0) {
      return lackMillis;
    }
    boolean atCapacity = sends > 0 && connectFailures == 0;
    return atCapacity ? LocalResponse.AT_CAPACITY_RETRY_MILLIS : LocalResponse.CRASH_RETRY_MILLIS;
  }

  private void stopAttempt(String reason) {
    if (attempt == null) {
      return;
    }
    log.cancelled(attempt.view().replica().id(), reason);
    if (attempt.isSent()) {
      mayHaveRun = true;
      interrupted = true;
    }
    attempt.stop();
    attempt = null;
  }

  private long remainingMillis() {
    return (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
  }

  private long elapsedMillis() {
    return (System.nanoTime() - request.arrivedNanos()) / NANOS_PER_MILLI;
  }

  private void respond(LocalResponse response) {
    HttpHeaders headers =
        fleet.codec().localResponseHeaders(metadata == null ? "" : metadata.attemptId());
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    if (response.retryAfterMillis() > 0) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER, String.valueOf(response.retryAfterMillis() / 1000.0));
    }
    String body =
        "{\"code\":\"%s\",\"message\":\"%s\"}"
            .formatted(response.code().text(), response.reason().replaceAll("[\"\\\\]", "'"));
    caller.sendResponse(
        response.status(), headers, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    finish(response.code().text(), response.status(), response.reason());
  }

  private void finish(String outcome, int status, String reason) {
    done = true;
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    final long consumedTokens = settle();
    request.body().release();
    long totalMillis = elapsedMillis();
    metrics.total(totalMillis);
    metrics.count("request_" + outcome.replace('.', '_'));
    log.request(
        new ExchangeLog.Summary(
            customer.map(found -> found.id().value()).orElse(""),
            route == null ? "" : route.name(),
            configuration == null ? 0 : configuration.version(),
            outcome,
            status,
            reason,
            sends,
            tried,
            progress,
            consumedTokens,
            firstByteMillis,
            totalMillis));
    onDone.run();
  }

  /** Settles the reservation and returns the tokens counted as consumed. */
  private long settle() {
    if (reservation == null) {
      return 0;
    }
    if (!mayHaveRun) {
      return reservation.settleUnused();
    }
    int producedEvents = stream.eventCount() + (interrupted ? MAX_UNRECEIVED_EVENTS : 0);
    return reservation.settleExecuted((long) producedEvents * fleet.tokensPerEvent(service));
  }
}

package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import io.snipeloom.routing.CustomerConfiguration;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.routing.ForwardMetadata;
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
 * Carries one request from its arrival to its final answer.
 *
 * <p>The steps are: find route and customer, reserve tokens, send to a replica, pass the answer on,
 * and perhaps send to another replica. Belongs to its event loop.
 */
final class Exchange implements Attempt.Owner {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Streams that break off may have delivered this many events that did not arrive here. */
  private static final int UNSEEN_EVENTS = 8;

  private static final int MAX_URGENCY = 9;

  private final EventLoop loop;
  private final Fleet fleet;
  private final ExchangeLog log;
  private final FleetMetrics metrics;
  private final CallerRequest request;
  private final CallerChannel caller;
  private final Runnable onDone;
  private final List<ReplicaId> tried = new ArrayList<>();
  private final EventStream events = new EventStream();

  private RequestMetadata terms;
  private FleetConfiguration configuration;
  private Route route;
  private String service;
  private Optional<CustomerConfiguration> customer = Optional.empty();
  private Reservation reservation;
  private long deadlineNanos;
  private ScheduledFuture<?> deadline;
  private Attempt attempt;
  private long firstByteMillis = -1;
  private int sends;
  private int runs;
  private int connectFailures;
  private boolean mayHaveRun;
  private boolean brokeOff;
  private boolean headSent;
  private boolean done;

  Exchange(
      EventLoop loop,
      Fleet fleet,
      EventLog log,
      FleetMetrics metrics,
      CallerRequest request,
      CallerChannel caller,
      Runnable onDone) {
    this.loop = loop;
    this.fleet = fleet;
    this.log = new ExchangeLog(log);
    this.metrics = metrics;
    this.request = request;
    this.caller = caller;
    this.onDone = onDone;
  }

  /** Starts the request. */
  void start() {
    try {
      admit();
    } catch (SnipeloomException e) {
      answer(OwnAnswer.of(e.code(), e.getMessage()));
    }
  }

  /** Stops the request because its caller left. */
  void onCallerGone() {
    if (!done) {
      stopAttempt("caller left");
      finish("caller_gone", 0, "");
    }
  }

  /** Continues to read the answer when the caller can take more. */
  void onCallerWritable(boolean writable) {
    if (attempt != null) {
      attempt.readMore(writable);
    }
  }

  private void admit() {
    Optional<FleetConfiguration> current = fleet.configuration();
    if (current.isEmpty()) {
      answer(
          OwnAnswer.notRun(
              ErrorCode.NOT_READY,
              "no configuration yet",
              OwnAnswer.START_PAUSE_MILLIS,
              Long.MAX_VALUE));
      return;
    }
    configuration = current.get();
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    Optional<Route> found = configuration.route(host, request.path());
    if (found.isEmpty()) {
      answer(OwnAnswer.of(ErrorCode.NOT_FOUND, "no route"));
      return;
    }
    route = found.get();
    terms = fleet.codec().requestMetadata(request.headers());
    log.identify(terms.attemptId());
    if (!configuration.customers().isEmpty() && !route.anonymous()) {
      customer = terms.apiKey().flatMap(configuration::customerOf);
      if (customer.isEmpty()) {
        answer(OwnAnswer.of(ErrorCode.UNAUTHENTICATED, "unknown API key"));
        return;
      }
    }
    service = route.serviceFor(Math.random());
    armDeadline();
    reserveTokens();
  }

  private void armDeadline() {
    long limitMillis =
        Math.min(route.timeoutMillis(), terms.timeoutMillis().orElse(Long.MAX_VALUE));
    deadlineNanos = request.arrivedNanos() + limitMillis * NANOS_PER_MILLI;
    long delay = Math.max(0, deadlineNanos - System.nanoTime());
    deadline = loop.schedule(this::onDeadline, delay, TimeUnit.NANOSECONDS);
  }

  private void onDeadline() {
    if (done) {
      return;
    }
    stopAttempt("time limit");
    giveUp(ErrorCode.DEADLINE_EXCEEDED, "time limit reached");
  }

  private void reserveTokens() {
    boolean limited = customer.isPresent() && customer.get().prepaidTokens().isPresent();
    if (!limited || terms.prompt().isEmpty()) {
      dispatch();
      return;
    }
    reservation = new Reservation(fleet, customer.get().id(), terms.prompt().get());
    long askedNanos = System.nanoTime();
    reservation.request(
        outcome -> {
          metrics.reservation((System.nanoTime() - askedNanos) / NANOS_PER_MILLI);
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
        reservation.standing(),
        fleet.isStoreReachable());
    if (outcome == ReserveOutcome.EXHAUSTED) {
      answer(OwnAnswer.of(ErrorCode.BUDGET_EXHAUSTED, "prepaid tokens do not cover it"));
    } else {
      answer(
          OwnAnswer.notRun(
              ErrorCode.BUDGET_UNAVAILABLE,
              "tokens cannot be claimed now",
              OwnAnswer.OUTAGE_PAUSE_MILLIS,
              leftMillis()));
    }
  }

  private void dispatch() {
    long now = System.nanoTime();
    List<ReplicaView> candidates = Fleet.untried(fleet.workersOf(service), tried);
    Optional<ReplicaView> pick =
        terms
            .prompt()
            .map(prompt -> fleet.picker().pick(candidates, prompt, now))
            .orElseGet(() -> fleet.picker().pick(candidates, now));
    if (pick.isEmpty()) {
      giveUp(ErrorCode.NO_UPSTREAM, "no replica takes work");
      return;
    }
    ReplicaView view = pick.get();
    long unreadTokens =
        terms
            .prompt()
            .map(prompt -> fleet.picker().unreadTokens(view, candidates, prompt, now))
            .orElse(0L);
    attempt = new Attempt(loop, fleet, request, terms.attemptId(), view, unreadTokens, log, this);
    attempt.connect();
  }

  @Override
  public boolean isWanted() {
    return !done && caller.isOpen();
  }

  @Override
  public ForwardMetadata forwardTerms(ReplicaView view) {
    return new ForwardMetadata(
        view.replica().id(),
        Math.max(1, leftMillis()),
        customer.map(found -> found.id().value()),
        urgency(),
        events.lastEventId());
  }

  private int urgency() {
    OptionalInt ofCustomer =
        customer.map(CustomerConfiguration::priority).orElse(OptionalInt.empty());
    return Math.min(MAX_URGENCY, ofCustomer.orElse(route.priority()));
  }

  @Override
  public void onSent(Attempt sent) {
    long now = System.nanoTime();
    sends++;
    if (sends == 1) {
      fleet.allowanceOf(service).onRequest(now);
    }
    terms
        .prompt()
        .ifPresent(
            prompt -> {
              fleet.picker().count(prompt, now);
              sent.view().memory().read(prompt.parts());
            });
    log.sent(sent.view(), sent.unreadTokens(), now, leftMillis());
  }

  @Override
  public long silenceMillis() {
    return RetryRules.silenceMillis(route);
  }

  @Override
  public boolean mayLeaveSilentReplica() {
    return RetryRules.maySendAgain(
        route, AttemptFailure.SILENT, runs + 1, sends, connectFailures, leftMillis());
  }

  @Override
  public void onStream(Attempt source, ByteBuf content) {
    ByteBuf whole = events.append(content);
    if (!whole.isReadable()) {
      return;
    }
    mayHaveRun = true;
    source.onFirstEvent();
    sendHeadOnce(source);
    caller.sendPart(whole);
    if (!caller.isWritable()) {
      source.readMore(false);
    }
  }

  @Override
  public void onStreamEnd(Attempt source) {
    onCompleted(source);
    sendHeadOnce(source);
    ByteBuf rest = events.takeRest();
    if (rest.isReadable()) {
      caller.sendPart(rest);
    }
    caller.sendEnd();
    finish("served", source.status(), "");
  }

  @Override
  public void onWhole(Attempt source) {
    onCompleted(source);
    passOn(source);
  }

  private void onCompleted(Attempt source) {
    attempt = null;
    mayHaveRun = true;
    tried.add(source.view().replica().id());
  }

  private void sendHeadOnce(Attempt source) {
    if (!headSent) {
      headSent = true;
      noteFirstByte();
      caller.sendHead(source.status(), source.headersForCaller());
    }
  }

  /** Gives the replica's whole answer to the caller unchanged. */
  private void passOn(Attempt source) {
    if (headSent) {
      giveUp(ErrorCode.UPSTREAM_FAILED, "replica answered " + source.status());
      return;
    }
    noteFirstByte();
    caller.sendWhole(source.status(), source.headersForCaller(), source.body());
    finish("served", source.status(), "");
  }

  private void noteFirstByte() {
    firstByteMillis = elapsedMillis();
    metrics.firstByte(firstByteMillis);
  }

  @Override
  public void onFailed(Attempt failed, AttemptFailure failure, String reason) {
    attempt = null;
    tried.add(failed.view().replica().id());
    noteFailure(failure);
    long leftMillis = leftMillis();
    boolean again =
        caller.isOpen()
            && RetryRules.maySendAgain(route, failure, runs, sends, connectFailures, leftMillis)
            && (failure == AttemptFailure.NOT_CONNECTED
                || fleet.allowanceOf(service).tryRepeat(System.nanoTime()));
    log.attemptFailed(failed.view().replica().id(), failure, reason, sends, leftMillis, again);
    metrics.count("attempt_failed_" + failure.name().toLowerCase(Locale.ROOT));
    if (again) {
      events.dropRest();
      dispatch();
    } else if (failure == AttemptFailure.ERROR_ANSWER) {
      passOn(failed);
    } else {
      giveUp(ErrorCode.UPSTREAM_FAILED, reason);
    }
  }

  private void noteFailure(AttemptFailure failure) {
    if (failure == AttemptFailure.NOT_CONNECTED) {
      connectFailures++;
    }
    if (failure.mayHaveRun()) {
      runs++;
      mayHaveRun = true;
      brokeOff |= failure != AttemptFailure.ERROR_ANSWER;
    }
  }

  /** Gives the final answer for a request that no replica is going to complete. */
  private void giveUp(ErrorCode code, String reason) {
    if (headSent) {
      brokeOff = true;
      caller.breakOff();
      finish("broken_off", 0, reason);
    } else if (mayHaveRun) {
      ErrorCode unknown = code == ErrorCode.DEADLINE_EXCEEDED ? code : ErrorCode.OUTCOME_UNKNOWN;
      answer(OwnAnswer.of(unknown, reason));
    } else if (code == ErrorCode.DEADLINE_EXCEEDED) {
      answer(OwnAnswer.of(code, reason));
    } else {
      boolean full = sends > 0 && connectFailures == 0;
      long pause = full ? OwnAnswer.FULL_PAUSE_MILLIS : OwnAnswer.CRASH_PAUSE_MILLIS;
      answer(OwnAnswer.notRun(ErrorCode.NO_UPSTREAM, reason, pause, leftMillis()));
    }
  }

  private void stopAttempt(String reason) {
    if (attempt == null) {
      return;
    }
    log.cancelled(attempt.view().replica().id(), reason);
    if (attempt.isSent()) {
      mayHaveRun = true;
      brokeOff = true;
    }
    attempt.stop();
    attempt = null;
  }

  private long leftMillis() {
    return (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
  }

  private long elapsedMillis() {
    return (System.nanoTime() - request.arrivedNanos()) / NANOS_PER_MILLI;
  }

  private void answer(OwnAnswer own) {
    HttpHeaders headers =
        fleet.codec().localResponseHeaders(terms == null ? "" : terms.attemptId());
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    if (own.retryAfterMillis() > 0) {
      headers.set(HttpHeaderNames.RETRY_AFTER, String.valueOf(own.retryAfterMillis() / 1000.0));
    }
    String body =
        "{\"code\":\"%s\",\"message\":\"%s\"}"
            .formatted(own.code().text(), own.reason().replaceAll("[\"\\\\]", "'"));
    caller.sendWhole(own.status(), headers, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    finish(own.code().text(), own.status(), own.reason());
  }

  private void finish(String outcome, int status, String reason) {
    done = true;
    if (deadline != null) {
      deadline.cancel(false);
    }
    final long used = settle();
    request.body().release();
    long millis = elapsedMillis();
    metrics.total(millis);
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
            used,
            firstByteMillis,
            millis));
    onDone.run();
  }

  /** Ends the reservation and returns the tokens that count as consumed. */
  private long settle() {
    if (reservation == null) {
      return 0;
    }
    if (!mayHaveRun) {
      return reservation.settleUnused();
    }
    int delivered = events.events() + (brokeOff ? UNSEEN_EVENTS : 0);
    return reservation.settleRun((long) delivered * fleet.tokensPerEvent(service));
  }
}

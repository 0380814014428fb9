package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import io.snipeloom.routing.CustomerTerms;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.routing.ForwardTerms;
import io.snipeloom.routing.Prompt;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.routing.RequestTerms;
import io.snipeloom.routing.Route;
import io.snipeloom.spend.ReserveOutcome;
import io.snipeloom.spend.SpendStanding;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Carries one request from its arrival to its final answer.
 *
 * <p>The steps are: find route and customer, reserve tokens, send to a replica, pass the answer on,
 * and perhaps send to another replica. Belongs to its event loop.
 */
final class Exchange {
  /** How long a request may wait for its tokens to be claimed; several round trips of the store. */
  private static final long RESERVE_WAIT_NANOS = 400_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Streams that break off may have delivered this many events that did not arrive here. */
  private static final int UNSEEN_EVENTS = 8;

  private static final int MAX_URGENCY = 9;

  private final EventLoop loop;
  private final Fleet fleet;
  private final EventLog log;
  private final FleetMetrics metrics;
  private final CallerRequest request;
  private final CallerChannel caller;
  private final Runnable onDone;
  private final List<ReplicaId> tried = new ArrayList<>();
  private final EventStream events = new EventStream();

  private RequestTerms terms;
  private FleetConfiguration configuration;
  private Route route;
  private String service;
  private Optional<CustomerTerms> customer = Optional.empty();
  private long deadlineNanos;
  private long reservedTokens;
  private boolean reserved;
  private ScheduledFuture<?> deadline;
  private Attempt attempt;
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
    this.log = log;
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
    if (attempt != null && attempt.connection != null) {
      attempt.connection.readMore(writable);
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
    terms = fleet.codec().requestTerms(request.headers());
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
    long now = System.nanoTime();
    long tokens = terms.prompt().get().maxTokens();
    fleet
        .spend()
        .reserve(
            customer.get().id(),
            tokens,
            now,
            fleet.isStoreReachable() ? now + RESERVE_WAIT_NANOS : now,
            outcome -> onReserved(outcome, tokens, now));
  }

  private void onReserved(ReserveOutcome outcome, long tokens, long askedNanos) {
    CustomerId id = customer.get().id();
    long now = System.nanoTime();
    metrics.reservation((now - askedNanos) / NANOS_PER_MILLI);
    if (done) {
      if (outcome == ReserveOutcome.RESERVED) {
        fleet.spend().settle(id, tokens, 0, now);
      }
      return;
    }
    if (outcome != ReserveOutcome.RESERVED) {
      logTokensRefused(outcome, tokens, now);
    }
    switch (outcome) {
      case RESERVED -> {
        reserved = true;
        reservedTokens = tokens;
        dispatch();
      }
      case EXHAUSTED ->
          answer(OwnAnswer.of(ErrorCode.BUDGET_EXHAUSTED, "prepaid tokens do not cover it"));
      default ->
          answer(
              OwnAnswer.notRun(
                  ErrorCode.BUDGET_UNAVAILABLE,
                  "tokens cannot be claimed now",
                  OwnAnswer.OUTAGE_PAUSE_MILLIS,
                  leftMillis()));
    }
  }

  private void logTokensRefused(ReserveOutcome outcome, long tokens, long nowNanos) {
    SpendStanding standing = fleet.spend().standing(customer.get().id(), nowNanos);
    log.log(
        "tokens_refused",
        "id",
        terms.attemptId(),
        "customer",
        customer.get().id(),
        "outcome",
        outcome,
        "wanted",
        tokens,
        "in_hand",
        standing.inHand(),
        "allowed",
        standing.allowed(),
        "claimed",
        standing.claimed(),
        "limit",
        standing.limit(),
        "ledger_age_ms",
        standing.ageMillis(),
        "store_answers",
        fleet.isStoreReachable());
  }

  private void dispatch() {
    long now = System.nanoTime();
    List<ReplicaView> workers = fleet.workersOf(service);
    List<ReplicaView> candidates = Fleet.untried(workers, tried);
    Optional<ReplicaView> pick =
        terms
            .prompt()
            .map(prompt -> fleet.picker().pick(candidates, prompt, now))
            .orElseGet(() -> fleet.picker().pick(candidates, now));
    if (pick.isEmpty()) {
      giveUp(ErrorCode.NO_UPSTREAM, "no replica takes work");
      return;
    }
    attempt = new Attempt(pick.get(), unreadTokens(pick.get(), candidates, now));
    attempt.connect();
  }

  private long unreadTokens(ReplicaView view, List<ReplicaView> candidates, long now) {
    return terms
        .prompt()
        .map(prompt -> fleet.picker().unreadTokens(view, candidates, prompt, now))
        .orElse(0L);
  }

  private void onAttemptFailed(Attempt failed, AttemptFailure failure, String reason) {
    attempt = null;
    tried.add(failed.view.replica().id());
    if (failure == AttemptFailure.NOT_CONNECTED) {
      connectFailures++;
    }
    if (failure.mayHaveRun()) {
      runs++;
      mayHaveRun = true;
    }
    long leftMillis = leftMillis();
    boolean again =
        caller.isOpen()
            && RetryRules.maySendAgain(route, failure, runs, sends, connectFailures, leftMillis)
            && (failure == AttemptFailure.NOT_CONNECTED
                || fleet.allowanceOf(service).tryRepeat(System.nanoTime()));
    log.log(
        "attempt_failed",
        "id",
        terms.attemptId(),
        "replica",
        failed.view.replica().id(),
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
    metrics.count("attempt_failed_" + failure.name().toLowerCase(java.util.Locale.ROOT));
    if (again) {
      events.dropRest();
      dispatch();
    } else if (failure == AttemptFailure.ERROR_ANSWER) {
      failed.passOn();
    } else {
      giveUp(ErrorCode.UPSTREAM_FAILED, reason);
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
    if (attempt != null) {
      log.log(
          "cancelled",
          "id",
          terms.attemptId(),
          "replica",
          attempt.view.replica().id(),
          "reason",
          reason);
      if (attempt.sent) {
        mayHaveRun = true;
        brokeOff = true;
      }
      attempt.stop();
      attempt = null;
    }
  }

  private long leftMillis() {
    return (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
  }

  private void answer(OwnAnswer own) {
    HttpHeaders headers = fleet.codec().own(terms == null ? "" : terms.attemptId());
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
    long millis = (System.nanoTime() - request.arrivedNanos()) / NANOS_PER_MILLI;
    metrics.total(millis);
    metrics.count("request_" + outcome.replace('.', '_'));
    log.log(
        "request",
        "id",
        terms == null ? "" : terms.attemptId(),
        "customer",
        customer.map(found -> found.id().value()).orElse(""),
        "route",
        route == null ? "" : route.name(),
        "configuration",
        configuration == null ? 0 : configuration.version(),
        "outcome",
        outcome,
        "status",
        status,
        "reason",
        reason,
        "sends",
        sends,
        "replicas",
        tried,
        "tokens",
        used,
        "ms",
        millis);
    onDone.run();
  }

  private long settle() {
    if (!reserved) {
      return 0;
    }
    Prompt prompt = terms.prompt().get();
    long used = 0;
    if (mayHaveRun) {
      int delivered = events.events() + (brokeOff ? UNSEEN_EVENTS : 0);
      long output = (long) delivered * fleet.tokensPerEvent(service);
      used = prompt.inputTokens() + Math.min(prompt.maxOutputTokens(), output);
    }
    fleet.spend().settle(customer.get().id(), reservedTokens, used, System.nanoTime());
    return used;
  }

  private int urgency() {
    int urgency =
        customer.map(CustomerTerms::priority).orElse(java.util.OptionalInt.empty()).orElse(-1);
    return Math.min(MAX_URGENCY, urgency < 0 ? route.priority() : urgency);
  }

  /** One send to one replica. */
  private final class Attempt implements AnswerListener {
    private final ReplicaView view;
    private final long unreadTokens;
    private ClientConnection connection;
    private ScheduledFuture<?> silence;
    private boolean sent;
    private boolean prefillDone;
    private boolean over;
    private boolean stream;
    private long lastHeardNanos;
    private int status;
    private HttpHeaders answerHeaders = new DefaultHttpHeaders();
    private AttemptFailure failureAnswer;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    Attempt(ReplicaView view, long unreadTokens) {
      this.view = view;
      this.unreadTokens = unreadTokens;
    }

    void connect() {
      fleet.poolOf(view.replica()).acquire(this::onConnection, this::onConnectFailed);
    }

    private void onConnection(ClientConnection opened) {
      if (over || done || !caller.isOpen()) {
        opened.abandon();
        return;
      }
      if (!fleet.directory().isWorking(view.replica())) {
        opened.abandon();
        over = true;
        onAttemptFailed(this, AttemptFailure.NOT_CONNECTED, "replica left");
        return;
      }
      connection = opened;
      ForwardTerms forward =
          new ForwardTerms(
              view.replica().id(),
              Math.max(1, leftMillis()),
              customer.map(found -> found.id().value()),
              urgency(),
              events.lastEventId());
      HttpHeaders headers =
          fleet.codec().forwarded(request.headers(), forward, request.body().readableBytes());
      opened.send(
          request.method(), request.uri(), headers, request.body().retainedDuplicate(), this);
    }

    private void onConnectFailed(String reason) {
      if (over || done) {
        return;
      }
      over = true;
      view.health().onUnreachable(System.nanoTime());
      onAttemptFailed(this, AttemptFailure.NOT_CONNECTED, reason);
    }

    @Override
    public void onSent() {
      sent = true;
      sends++;
      long now = System.nanoTime();
      lastHeardNanos = now;
      view.load().onSent(unreadTokens);
      if (sends == 1) {
        fleet.allowanceOf(service).onRequest(now);
      }
      terms
          .prompt()
          .ifPresent(
              prompt -> {
                fleet.picker().count(prompt, now);
                view.memory().read(prompt.parts());
              });
      log.log(
          "sent",
          "id",
          terms.attemptId(),
          "replica",
          view.replica().id(),
          "unread_tokens",
          unreadTokens,
          "in_flight",
          view.load().inFlight(),
          "others_running",
          view.load().othersRunning(now),
          "report_age_ms",
          view.load().reportAgeMillis(now),
          "error_share",
          view.health().errorShare(),
          "left_ms",
          leftMillis());
      armSilence(RetryRules.silenceMillis(route));
    }

    private void armSilence(long limitMillis) {
      if (limitMillis > 0) {
        silence =
            loop.schedule(() -> checkSilence(limitMillis), limitMillis, TimeUnit.MILLISECONDS);
      }
    }

    private void checkSilence(long limitMillis) {
      if (over || done) {
        return;
      }
      long quietNanos = System.nanoTime() - lastHeardNanos;
      long leftNanos = limitMillis * NANOS_PER_MILLI - quietNanos;
      if (leftNanos > 0) {
        silence = loop.schedule(() -> checkSilence(limitMillis), leftNanos, TimeUnit.NANOSECONDS);
        return;
      }
      if (!RetryRules.maySendAgain(
          route, AttemptFailure.SILENT, runs + 1, sends, connectFailures, leftMillis())) {
        return;
      }
      connection.abandon();
      end();
      view.health().onUnreachable(System.nanoTime());
      onAttemptFailed(this, AttemptFailure.SILENT, "silent for " + limitMillis + " ms");
    }

    @Override
    public boolean onHead(io.netty.handler.codec.http.HttpResponse head) {
      lastHeardNanos = System.nanoTime();
      status = head.status().code();
      answerHeaders = head.headers();
      var stated = fleet.codec().answerTerms(status, answerHeaders);
      boolean named = !stated.attemptId().isEmpty();
      if (named ? !stated.attemptId().equals(terms.attemptId()) : !stated.notExecuted()) {
        log.log(
            "foreign_answer",
            "id",
            terms.attemptId(),
            "replica",
            view.replica().id(),
            "answer_id",
            stated.attemptId(),
            "status",
            status);
        return false;
      }
      stated.load().ifPresent(l -> view.load().onReport(l.running(), l.waiting(), lastHeardNanos));
      failureAnswer = classify(stated);
      String type = answerHeaders.get(HttpHeaderNames.CONTENT_TYPE, "");
      stream = failureAnswer == null && type.startsWith("text/event-stream");
      if (!stream) {
        body = Unpooled.buffer();
      }
      return true;
    }

    private AttemptFailure classify(io.snipeloom.routing.AnswerTerms stated) {
      if (stated.notExecuted()) {
        return AttemptFailure.NOT_EXECUTED;
      }
      boolean promise = status == 429 || status == 503 || status == 408;
      if (!stated.signed() || promise || answerHeaders.contains(HttpHeaderNames.CONTENT_ENCODING)) {
        return AttemptFailure.BROKEN;
      }
      return status >= 500 ? AttemptFailure.ERROR_ANSWER : null;
    }

    @Override
    public void onContent(ByteBuf content) {
      lastHeardNanos = System.nanoTime();
      if (!stream) {
        body.writeBytes(content);
        return;
      }
      ByteBuf whole = events.append(content);
      if (whole.isReadable()) {
        passEvents(whole);
      }
    }

    private void passEvents(ByteBuf whole) {
      onFirstEvent();
      sendHeadOnce();
      caller.sendPart(whole);
      if (!caller.isWritable() && connection != null) {
        connection.readMore(false);
      }
    }

    private void onFirstEvent() {
      mayHaveRun = true;
      if (!prefillDone) {
        prefillDone = true;
        view.load().onPrefillDone(unreadTokens);
      }
    }

    private void sendHeadOnce() {
      if (!headSent) {
        headSent = true;
        metrics.firstByte((System.nanoTime() - request.arrivedNanos()) / NANOS_PER_MILLI);
        caller.sendHead(status, fleet.codec().answered(answerHeaders));
      }
    }

    @Override
    public void onEnd() {
      end();
      if (done) {
        return;
      }
      if (failureAnswer != null) {
        view.health().onAnswer(failureAnswer == AttemptFailure.NOT_EXECUTED);
        onAttemptFailed(this, failureAnswer, "replica answered " + status);
        return;
      }
      view.health().onAnswer(true);
      attempt = null;
      mayHaveRun = true;
      tried.add(view.replica().id());
      if (stream) {
        sendHeadOnce();
        ByteBuf rest = events.takeRest();
        if (rest.isReadable()) {
          caller.sendPart(rest);
        }
        caller.sendEnd();
        finish("served", status, "");
      } else {
        passOn();
      }
    }

    /** Gives the replica's whole answer to the caller unchanged. */
    void passOn() {
      if (headSent) {
        giveUp(ErrorCode.UPSTREAM_FAILED, "replica answered " + status);
        return;
      }
      metrics.firstByte((System.nanoTime() - request.arrivedNanos()) / NANOS_PER_MILLI);
      caller.sendWhole(status, fleet.codec().answered(answerHeaders), body);
      finish("served", status, "");
    }

    @Override
    public void onBroken(String reason) {
      end();
      if (done) {
        return;
      }
      brokeOff = true;
      view.health().onBroken();
      onAttemptFailed(this, AttemptFailure.BROKEN, reason);
    }

    void stop() {
      if (connection != null && !over) {
        connection.abandon();
      }
      end();
    }

    private void end() {
      if (over) {
        return;
      }
      over = true;
      if (silence != null) {
        silence.cancel(false);
      }
      if (sent) {
        if (!prefillDone) {
          view.load().onPrefillDone(unreadTokens);
        }
        view.load().onEnded();
      }
    }
  }
}

package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.CallRecord;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Takes one request from admission to its final answer.
 *
 * <p>The steps are resolve, admit, reserve, choose, record the intent of a call that may not be
 * repeated, and send; a failed attempt goes back to reserve if a retry is safe. Steps run on the
 * threads of their collaborators, one at a time under the lock of the flow. Start it once.
 */
final class RequestFlow {
  private static final Duration NO_UPSTREAM_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration CLAIM_PATIENCE = Duration.ofSeconds(3);
  private static final Duration UNKNOWN_RETRY_AFTER = Duration.ofSeconds(2);

  private final RouterContext context;
  private final CallerRequest request;
  private final AnswerSink sink;
  private final UpstreamPool pool;
  private final Set<InstanceId> tried = new HashSet<>();
  private final Runnable onClosed;
  private Admission admission;
  private ScheduledFuture<?> deadline;
  private Attempt current;
  private int attempts;
  private boolean finished;
  private boolean answerStarted;
  private boolean closed;

  RequestFlow(RouterContext context, CallerRequest request, AnswerSink sink, Runnable onClosed) {
    this.context = context;
    this.request = request;
    this.sink = sink;
    this.onClosed = onClosed;
    this.pool = context.pools().apply(request);
  }

  // Life cycle.

  /** Starts the flow. */
  synchronized void start() {
    long left = request.deadlineNanos() - context.nowNanos();
    deadline = context.scheduler().schedule(this::onDeadline, left, TimeUnit.NANOSECONDS);
    if (context.replica().read(state -> state.isConvicted(request.fingerprint()))) {
      fail(
          SnipeloomException.of(
              ErrorCode.REQUEST_CONVICTED, "the request crashes the back ends that run it"));
      return;
    }
    resolve();
  }

  /** Stops the flow because its caller has gone. */
  synchronized void cancel() {
    if (finished) {
      return;
    }
    finish();
    if (current != null && request.isRepeatable()) {
      current.link.cancel(current.id);
    }
    closeIfIdle();
  }

  private synchronized void onDeadline() {
    if (finished) {
      return;
    }
    SnipeloomException error =
        SnipeloomException.of(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed")
            .withPlace("deadline", pool.upstream().value())
            .withRetryAfter(UNKNOWN_RETRY_AFTER);
    if (current == null || !current.sent) {
      fail(error);
      return;
    }
    if (request.isRepeatable()) {
      current.link.cancel(current.id);
    }
    fail(error.withRunState(request.isRepeatable() ? RunState.RAN : RunState.UNKNOWN));
  }

  private void fail(SnipeloomException error) {
    if (finished) {
      return;
    }
    finish();
    sink.onError(error);
    closeIfIdle();
  }

  private void finish() {
    finished = true;
    deadline.cancel(false);
  }

  private void closeIfIdle() {
    if (!finished || closed || (current != null && current.sent)) {
      return;
    }
    closed = true;
    if (admission != null) {
      admission.release();
    }
    onClosed.run();
  }

  // Steps before an attempt is sent.

  private void resolve() {
    context
        .resolver()
        .resolve(request)
        .whenComplete((resolution, error) -> onResolved(resolution, error));
  }

  private synchronized void onResolved(CallResolution resolution, Throwable error) {
    if (finished) {
      return;
    }
    if (error != null) {
      fail(unwrapped(error));
    } else if (resolution instanceof CallResolution.Follow follow) {
      followEarlier(follow);
    } else if (admission == null) {
      admit();
    } else {
      reserve();
    }
  }

  private void followEarlier(CallResolution.Follow follow) {
    current = new Attempt(follow.attempt(), null, follow.link());
    current.sent = true;
    follow.link().attach(new Message.Attach(follow.attempt(), 0), new Listener(current));
  }

  private void admit() {
    AdmissionRequest wanted =
        new AdmissionRequest(
            request.key().customer(),
            request.requestClass(),
            request.upperBoundTokens(),
            request.deadlineNanos());
    admission = pool.admission().offer(wanted);
    admission.turn().whenComplete((nothing, error) -> onAdmitted(error));
  }

  private synchronized void onAdmitted(Throwable error) {
    if (finished) {
      closeIfIdle();
      return;
    }
    if (error != null) {
      fail(unwrapped(error));
      return;
    }
    pool.retryBudget().onFirstAttempt();
    reserve();
  }

  private void reserve() {
    AttemptId id = context.nextAttempt();
    attempts++;
    context
        .reservations()
        .reserveBy(request.budget(), id, request.upperBoundTokens(), claimDeadlineNanos())
        .whenComplete((reservation, error) -> onReserved(id, error));
  }

  /** A claim is waited for only briefly, and not at all while the log does not answer. */
  private long claimDeadlineNanos() {
    long now = context.nowNanos();
    if (!context.records().isReachable()) {
      return now;
    }
    return Math.min(request.deadlineNanos(), now + CLAIM_PATIENCE.toNanos());
  }

  private synchronized void onReserved(AttemptId id, Throwable error) {
    if (finished) {
      if (error == null) {
        context.reservations().settle(id, 0);
      }
      closeIfIdle();
      return;
    }
    if (error != null) {
      fail(unwrapped(error));
      return;
    }
    choose(id);
  }

  private void choose(AttemptId id) {
    RouteRequest wanted =
        new RouteRequest(
            request.model(),
            context.zone(),
            request.prefix(),
            request.requestClass().urgency(),
            request.deadlineNanos(),
            tried);
    Optional<BackEnd> chosen = pool.picker().pick(wanted, pool.backEnds(), context.random());
    Optional<Incarnation> sidecar = chosen.flatMap(backEnd -> backEnd.link().incarnation());
    if (sidecar.isEmpty()) {
      context.reservations().settle(id, 0);
      tried.clear();
      retryOrFail(
          SnipeloomException.of(ErrorCode.NO_UPSTREAM, "no back end takes the request")
              .withPlace("choose", pool.upstream().value())
              .withRetryAfter(NO_UPSTREAM_RETRY_AFTER));
      return;
    }
    current = new Attempt(id, chosen.get(), chosen.get().link());
    if (request.isRepeatable()) {
      send(current, sidecar.get());
    } else {
      recordIntent(current, sidecar.get());
    }
  }

  private void recordIntent(Attempt attempt, Incarnation sidecar) {
    if (!context.records().isReachable()) {
      dropUnsent(attempt);
      fail(
          SnipeloomException.of(ErrorCode.LOG_UNAVAILABLE, "the intent cannot be recorded now")
              .withPlace("intent", "")
              .withRetryAfter(UNKNOWN_RETRY_AFTER));
      return;
    }
    DecisionRecord.IntentRecorded intent =
        new DecisionRecord.IntentRecorded(
            request.key(), attempt.id, sidecar, request.fingerprint());
    context
        .records()
        .appendNow(List.of(intent))
        .whenComplete((offset, error) -> onIntentApplied(attempt, sidecar, error));
  }

  private synchronized void onIntentApplied(Attempt attempt, Incarnation sidecar, Throwable error) {
    boolean mine =
        error == null
            && context
                .replica()
                .read(state -> state.call(request.key()))
                .filter(call -> call.attempt().equals(attempt.id) && !call.hasOutcome())
                .isPresent();
    if (finished) {
      dropUnsent(attempt);
      if (mine) {
        recordNotRun(attempt);
      }
      closeIfIdle();
      return;
    }
    if (mine) {
      send(attempt, sidecar);
      return;
    }
    dropUnsent(attempt);
    if (error != null) {
      fail(unwrapped(error));
    } else {
      onIntentRefused();
    }
  }

  private void onIntentRefused() {
    Optional<CallRecord> existing = context.replica().read(state -> state.call(request.key()));
    if (existing.isPresent()) {
      resolve();
      return;
    }
    fail(
        SnipeloomException.of(
                ErrorCode.KEY_EXPIRED, "the idempotency key is older than what is remembered")
            .withPlace("intent", "")
            .withRunState(RunState.UNKNOWN));
  }

  private void send(Attempt attempt, Incarnation sidecar) {
    if (!attempt.backEnd.tryBegin(request.requestClass().urgency(), context.nowNanos())) {
      dropUnsent(attempt);
      afterUnsent(attempt);
      return;
    }
    attempt.sent = true;
    attempt.sidecar = sidecar;
    context.openAttempts().begin(sidecar);
    attempt.sentNanos = context.nowNanos();
    tried.add(attempt.backEnd.id());
    pool.picker().prefixes().recordSend(attempt.backEnd, request.prefix());
    attempt.link.dispatch(dispatchOf(attempt, sidecar), new Listener(attempt));
  }

  private void afterUnsent(Attempt attempt) {
    tried.add(attempt.backEnd.id());
    SnipeloomException error =
        SnipeloomException.of(ErrorCode.LEAVING, "the back end no longer takes work")
            .withPlace("send", attempt.backEnd.id().value())
            .withRetryAfter(NO_UPSTREAM_RETRY_AFTER);
    if (request.isRepeatable()) {
      retryOrFail(error);
    } else {
      recordNotRunThen(attempt, error);
    }
  }

  private Message.Dispatch dispatchOf(Attempt attempt, Incarnation sidecar) {
    long leftNanos = request.deadlineNanos() - context.nowNanos();
    boolean alone = context.replica().read(state -> state.isSuspect(request.fingerprint()));
    return new Message.Dispatch(
        attempt.id,
        request.key(),
        request.issuedAtMillis(),
        sidecar,
        request.budget(),
        request.requestClass().id(),
        pool.upstream(),
        request.requestClass().urgency(),
        request.upperBoundTokens(),
        request.maxOutputTokens(),
        TimeUnit.NANOSECONDS.toMillis(leftNanos),
        request.keyed(),
        request.fingerprint(),
        alone,
        request.call(),
        request.traceparent());
  }

  private void dropUnsent(Attempt attempt) {
    context.reservations().settle(attempt.id, 0);
    current = null;
  }

  // Failed attempts.

  private void retryOrFail(SnipeloomException error) {
    if (finished) {
      closeIfIdle();
      return;
    }
    RetryPolicy.Failure failure =
        new RetryPolicy.Failure(
            attempts,
            request.requestClass().urgency(),
            error.runState(),
            error.retryAfterMillis(),
            answerStarted);
    RetryPolicy.Decision decision =
        pool.retryPolicy()
            .decide(failure, context.nowNanos(), request.deadlineNanos(), context.random());
    if (!decision.isRetry()) {
      fail(error);
      return;
    }
    ScheduledFuture<?> unused =
        context.scheduler().schedule(this::retry, decision.delay().toNanos(), TimeUnit.NANOSECONDS);
  }

  private synchronized void retry() {
    if (finished) {
      closeIfIdle();
      return;
    }
    if (request.isRepeatable()) {
      reserve();
    } else {
      resolve();
    }
  }

  private void recordNotRunThen(Attempt attempt, SnipeloomException error) {
    context
        .resolver()
        .recordNotRun(request.key(), attempt.id)
        .whenComplete((offset, failure) -> onNotRunRecorded(error));
  }

  private synchronized void onNotRunRecorded(SnipeloomException error) {
    retryOrFail(error);
  }

  private void recordNotRun(Attempt attempt) {
    context.resolver().recordNotRun(request.key(), attempt.id);
  }

  private static SnipeloomException unwrapped(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    if (cause instanceof SnipeloomException known) {
      return known;
    }
    return SnipeloomException.of(ErrorCode.INTERNAL, String.valueOf(cause)).withCause(cause);
  }

  // Answers.

  private synchronized void onHead(Attempt attempt, Message.AnswerHead head) {
    if (isOpen(attempt)) {
      sink.onHead(head);
    }
  }

  private synchronized void onChunk(Attempt attempt, Message.AnswerChunk chunk) {
    if (!isOpen(attempt)) {
      return;
    }
    answerStarted = true;
    long next = chunk.sequence() + 1;
    sink.onChunk(chunk.data(), () -> attempt.link.acknowledge(attempt.id, next));
  }

  private synchronized void onEnd(Attempt attempt, Message.AnswerEnd end) {
    if (attempt.concluded) {
      return;
    }
    BackEnd.Outcome outcome = end.complete() ? BackEnd.Outcome.ANSWERED : BackEnd.Outcome.FAILED;
    conclude(attempt, consumedTokens(end), outcome);
    if (finished) {
      closeIfIdle();
    } else if (end.complete()) {
      finish();
      sink.onEnd(end);
      closeIfIdle();
    } else {
      retryOrFail(incomplete(attempt, end));
    }
  }

  private long consumedTokens(Message.AnswerEnd end) {
    return request.model() == null
        ? request.upperBoundTokens()
        : end.promptTokens() + end.outputTokens();
  }

  private SnipeloomException incomplete(Attempt attempt, Message.AnswerEnd end) {
    ErrorCode code = end.error() == null ? ErrorCode.UPSTREAM_FAILED : end.error();
    return SnipeloomException.of(code, end.message())
        .withPlace("answer", attempt.id.holder() + "/" + attempt.link.instance().id())
        .withRunState(request.isRepeatable() ? RunState.RAN : RunState.UNKNOWN)
        .withRetryAfter(NO_UPSTREAM_RETRY_AFTER);
  }

  private synchronized void onRefused(Attempt attempt, Message.Refused refusal) {
    if (attempt.concluded) {
      return;
    }
    boolean notRun = refusal.runState() == RunState.NOT_RUN;
    conclude(attempt, notRun ? 0 : request.upperBoundTokens(), BackEnd.Outcome.ABANDONED);
    SnipeloomException error =
        SnipeloomException.of(refusal.code(), refusal.message())
            .withPlace("dispatch", attempt.link.instance().id().value())
            .withRunState(refusal.runState())
            .withRetryAfter(Duration.ofMillis(refusal.retryAfterMillis()));
    if (notRun && !request.isRepeatable() && attempt.backEnd != null) {
      recordNotRunThen(attempt, error);
    } else {
      retryOrFail(error);
    }
  }

  private synchronized void onLost(Attempt attempt, SnipeloomException error) {
    if (attempt.concluded) {
      return;
    }
    boolean notRun = error.runState() == RunState.NOT_RUN;
    if (!notRun && attempt.backEnd != null) {
      estimate(attempt);
    }
    conclude(attempt, notRun ? 0 : request.upperBoundTokens(), BackEnd.Outcome.FAILED);
    if (notRun && !request.isRepeatable() && attempt.backEnd != null) {
      recordNotRunThen(attempt, error);
    } else {
      retryOrFail(error.withRetryAfter(UNKNOWN_RETRY_AFTER));
    }
  }

  private void estimate(Attempt attempt) {
    DecisionRecord.AttemptSettled upperBound =
        new DecisionRecord.AttemptSettled(
            attempt.id,
            request.key(),
            request.issuedAtMillis(),
            request.budget(),
            request.requestClass().id(),
            request.upperBoundTokens(),
            false,
            false);
    context.records().append(List.of(upperBound));
  }

  private void conclude(Attempt attempt, long consumed, BackEnd.Outcome outcome) {
    attempt.concluded = true;
    if (attempt.backEnd != null) {
      attempt.backEnd.end(outcome, attempt.sentNanos, context.nowNanos(), context.random());
      context.reservations().settle(attempt.id, consumed);
      context.openAttempts().end(attempt.sidecar);
    }
    if (current == attempt) {
      current = null;
    }
  }

  private boolean isOpen(Attempt attempt) {
    return !finished && !attempt.concluded;
  }

  /** One attempt; its fields are guarded by the flow. */
  private static final class Attempt {
    private final AttemptId id;
    private final BackEnd backEnd;
    private final SidecarLink link;
    private Incarnation sidecar;
    private boolean sent;
    private long sentNanos;
    private boolean concluded;

    /**
     * Creates an attempt.
     *
     * @param id its identifier
     * @param backEnd the back end that it was admitted to; null for one that is only followed
     * @param link the link to the sidecar
     */
    private Attempt(AttemptId id, BackEnd backEnd, SidecarLink link) {
      this.id = id;
      this.backEnd = backEnd;
      this.link = link;
    }
  }

  /** Passes the frames of one attempt to the flow. */
  private final class Listener implements AnswerListener {
    private final Attempt attempt;

    private Listener(Attempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public void onHead(Message.AnswerHead head) {
      RequestFlow.this.onHead(attempt, head);
    }

    @Override
    public void onChunk(Message.AnswerChunk chunk) {
      RequestFlow.this.onChunk(attempt, chunk);
    }

    @Override
    public void onEnd(Message.AnswerEnd end) {
      RequestFlow.this.onEnd(attempt, end);
    }

    @Override
    public void onRefused(Message.Refused refusal) {
      RequestFlow.this.onRefused(attempt, refusal);
    }

    @Override
    public void onLost(SnipeloomException error) {
      RequestFlow.this.onLost(attempt, error);
    }
  }
}

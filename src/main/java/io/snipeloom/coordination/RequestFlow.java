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
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Processes one request from admission to its final answer.
 *
 * <p>The steps are: resolve earlier attempts, admit, reserve tokens, choose a back end, record the
 * intent if the request is not repeatable, and send. A retry after a failed attempt continues with
 * reserving tokens, or with resolving earlier attempts if the request is not repeatable. Steps run
 * on the threads of the collaborators and hold the lock of the flow. {@link #start} must be called
 * once.
 */
final class RequestFlow {
  private static final Duration NO_UPSTREAM_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration MAX_CLAIM_WAIT = Duration.ofSeconds(3);
  private static final Duration UNKNOWN_RETRY_AFTER = Duration.ofSeconds(2);

  private final RouterContext context;
  private final CallerRequest request;
  private final AnswerSink sink;
  private final UpstreamPool pool;
  private final Set<InstanceId> triedBackEnds = new HashSet<>();
  private final Runnable onClosed;
  private Admission admission;
  private ScheduledFuture<?> deadline;
  private FlowAttempt current;
  private int attemptCount;
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
    long remainingNanos = request.deadlineNanos() - context.nowNanos();
    deadline = context.scheduler().schedule(this::onDeadline, remainingNanos, TimeUnit.NANOSECONDS);
    if (context.replica().read(state -> state.isConvicted(request.fingerprint()))) {
      fail(
          SnipeloomException.of(
              ErrorCode.REQUEST_CONVICTED, "the request is refused because it crashed engines"));
      return;
    }
    resolve();
  }

  /** Cancels the flow because its caller disconnected. */
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
            .withOrigin("deadline", pool.upstream().value())
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
      fail(FlowMessages.unwrapped(error));
    } else if (resolution instanceof CallResolution.Follow follow) {
      followEarlier(follow);
    } else if (admission == null) {
      admit();
    } else {
      reserve();
    }
  }

  private void followEarlier(CallResolution.Follow follow) {
    current = new FlowAttempt(follow.attempt(), null, follow.link());
    current.sent = true;
    follow.link().attach(new Message.Attach(follow.attempt(), 0), new Listener(current));
  }

  private void admit() {
    AdmissionRequest admissionRequest =
        new AdmissionRequest(
            request.key().customer(),
            request.requestClass(),
            request.upperBoundTokens(),
            request.deadlineNanos());
    admission = pool.admission().offer(admissionRequest);
    admission.granted().whenComplete((nothing, error) -> onAdmitted(error));
  }

  private synchronized void onAdmitted(Throwable error) {
    if (finished) {
      closeIfIdle();
      return;
    }
    if (error != null) {
      fail(FlowMessages.unwrapped(error));
      return;
    }
    pool.retryBudget().onFirstAttempt();
    reserve();
  }

  private void reserve() {
    AttemptId id = context.nextAttempt();
    attemptCount++;
    context
        .reservations()
        .reserveBy(request.budget(), id, request.upperBoundTokens(), claimDeadlineNanos())
        .whenComplete((reservation, error) -> onReserved(id, error));
  }

  /**
   * Returns the deadline for a budget claim. A request waits for a claim for at most {@link
   * #MAX_CLAIM_WAIT}, and not at all while the log is unreachable.
   */
  private long claimDeadlineNanos() {
    long now = context.nowNanos();
    if (!context.records().isReachable()) {
      return now;
    }
    return Math.min(request.deadlineNanos(), now + MAX_CLAIM_WAIT.toNanos());
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
      fail(FlowMessages.unwrapped(error));
      return;
    }
    choose(id);
  }

  private void choose(AttemptId id) {
    RouteRequest routeRequest =
        new RouteRequest(
            request.model(),
            context.zone(),
            request.prefix(),
            request.requestClass().urgency(),
            request.deadlineNanos(),
            triedBackEnds);
    Optional<BackEnd> chosen = pool.picker().pick(routeRequest, pool.backEnds(), context.random());
    Optional<Incarnation> sidecar = chosen.flatMap(backEnd -> backEnd.link().incarnation());
    if (sidecar.isEmpty()) {
      context.reservations().settle(id, 0);
      triedBackEnds.clear();
      retryOrFail(
          SnipeloomException.of(ErrorCode.NO_UPSTREAM, "no back end accepts the request")
              .withOrigin("choose", pool.upstream().value())
              .withRetryAfter(NO_UPSTREAM_RETRY_AFTER));
      return;
    }
    current = new FlowAttempt(id, chosen.get(), chosen.get().link());
    if (request.isRepeatable()) {
      send(current, sidecar.get());
    } else {
      recordIntent(current, sidecar.get());
    }
  }

  private void recordIntent(FlowAttempt attempt, Incarnation sidecar) {
    if (!context.records().isReachable()) {
      releaseUnsent(attempt);
      fail(
          SnipeloomException.of(
                  ErrorCode.LOG_UNAVAILABLE,
                  "the intent cannot be recorded while the log is unreachable")
              .withOrigin("intent", "")
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

  private synchronized void onIntentApplied(
      FlowAttempt attempt, Incarnation sidecar, Throwable error) {
    boolean isOwnIntent =
        error == null
            && context
                .replica()
                .read(state -> state.call(request.key()))
                .filter(call -> call.attempt().equals(attempt.id) && !call.hasOutcome())
                .isPresent();
    if (finished) {
      releaseUnsent(attempt);
      if (isOwnIntent) {
        recordNotRun(attempt);
      }
      closeIfIdle();
      return;
    }
    if (isOwnIntent) {
      send(attempt, sidecar);
      return;
    }
    releaseUnsent(attempt);
    if (error != null) {
      fail(FlowMessages.unwrapped(error));
    } else {
      onIntentRefused();
    }
  }

  private void onIntentRefused() {
    Optional<CallRecord> recordedCall = context.replica().read(state -> state.call(request.key()));
    if (recordedCall.isPresent()) {
      resolve();
      return;
    }
    fail(
        SnipeloomException.of(
                ErrorCode.KEY_EXPIRED, "the idempotency key is older than the oldest recorded key")
            .withOrigin("intent", "")
            .withRunState(RunState.UNKNOWN));
  }

  private void send(FlowAttempt attempt, Incarnation sidecar) {
    if (!attempt.backEnd.tryBegin(request.requestClass().urgency(), context.nowNanos())) {
      releaseUnsent(attempt);
      retryUnsent(attempt);
      return;
    }
    attempt.sent = true;
    attempt.sidecar = sidecar;
    context.openAttempts().begin(sidecar);
    attempt.sentNanos = context.nowNanos();
    triedBackEnds.add(attempt.backEnd.id());
    pool.picker().prefixes().recordSend(attempt.backEnd, request.prefix());
    attempt.link.dispatch(
        FlowMessages.dispatch(context, request, attempt.id, sidecar), new Listener(attempt));
  }

  private void retryUnsent(FlowAttempt attempt) {
    triedBackEnds.add(attempt.backEnd.id());
    SnipeloomException error =
        SnipeloomException.of(ErrorCode.LEAVING, "the back end no longer takes new work")
            .withOrigin("send", attempt.backEnd.id().value())
            .withRetryAfter(NO_UPSTREAM_RETRY_AFTER);
    if (request.isRepeatable()) {
      retryOrFail(error);
    } else {
      recordNotRunThen(attempt, error);
    }
  }

  private void releaseUnsent(FlowAttempt attempt) {
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
            attemptCount,
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

  private void recordNotRunThen(FlowAttempt attempt, SnipeloomException error) {
    context
        .resolver()
        .recordNotRun(request.key(), attempt.id)
        .whenComplete((offset, failure) -> onNotRunRecorded(error));
  }

  private synchronized void onNotRunRecorded(SnipeloomException error) {
    retryOrFail(error);
  }

  private void recordNotRun(FlowAttempt attempt) {
    context.resolver().recordNotRun(request.key(), attempt.id);
  }

  // Answers.

  private synchronized void onHead(FlowAttempt attempt, Message.AnswerHead head) {
    if (isOpen(attempt)) {
      sink.onHead(head);
    }
  }

  private synchronized void onChunk(FlowAttempt attempt, Message.AnswerChunk chunk) {
    if (!isOpen(attempt)) {
      return;
    }
    answerStarted = true;
    long next = chunk.sequence() + 1;
    sink.onChunk(chunk.data(), () -> attempt.link.acknowledge(attempt.id, next));
  }

  private synchronized void onEnd(FlowAttempt attempt, Message.AnswerEnd end) {
    if (attempt.ended) {
      return;
    }
    BackEnd.Outcome outcome = end.complete() ? BackEnd.Outcome.ANSWERED : BackEnd.Outcome.FAILED;
    endAttempt(attempt, FlowMessages.consumedTokens(request, end), outcome);
    if (finished) {
      closeIfIdle();
    } else if (end.complete()) {
      finish();
      sink.onEnd(end);
      closeIfIdle();
    } else {
      retryOrFail(FlowMessages.incomplete(request, attempt.id, attempt.link.instance().id(), end));
    }
  }

  private synchronized void onRefused(FlowAttempt attempt, Message.Refused refusal) {
    if (attempt.ended) {
      return;
    }
    boolean notRun = refusal.runState() == RunState.NOT_RUN;
    endAttempt(attempt, notRun ? 0 : request.upperBoundTokens(), BackEnd.Outcome.ABANDONED);
    SnipeloomException error = FlowMessages.refused(attempt.link.instance().id(), refusal);
    if (notRun && !request.isRepeatable() && attempt.backEnd != null) {
      recordNotRunThen(attempt, error);
    } else {
      retryOrFail(error);
    }
  }

  private synchronized void onLost(FlowAttempt attempt, SnipeloomException error) {
    if (attempt.ended) {
      return;
    }
    boolean notRun = error.runState() == RunState.NOT_RUN;
    if (!notRun && attempt.backEnd != null) {
      context.records().append(List.of(FlowMessages.estimate(request, attempt.id)));
    }
    endAttempt(attempt, notRun ? 0 : request.upperBoundTokens(), BackEnd.Outcome.FAILED);
    if (notRun && !request.isRepeatable() && attempt.backEnd != null) {
      recordNotRunThen(attempt, error);
    } else {
      retryOrFail(error.withRetryAfter(UNKNOWN_RETRY_AFTER));
    }
  }

  private void endAttempt(FlowAttempt attempt, long consumed, BackEnd.Outcome outcome) {
    attempt.ended = true;
    if (attempt.backEnd != null) {
      attempt.backEnd.end(outcome, attempt.sentNanos, context.nowNanos(), context.random());
      context.reservations().settle(attempt.id, consumed);
      context.openAttempts().end(attempt.sidecar);
    }
    if (current == attempt) {
      current = null;
    }
  }

  private boolean isOpen(FlowAttempt attempt) {
    return !finished && !attempt.ended;
  }

  /** Forwards the frames of one attempt to the flow. */
  private final class Listener implements AnswerListener {
    private final FlowAttempt attempt;

    private Listener(FlowAttempt attempt) {
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

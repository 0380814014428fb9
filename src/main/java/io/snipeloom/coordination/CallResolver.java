package io.snipeloom.coordination;

import io.snipeloom.protocol.CallState;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.CallRecord;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/**
 * Determines the state of the earlier attempts of a request.
 *
 * <p>Thread-safe. A non-repeatable request is looked up in the decision state and then at the one
 * sidecar to which its recorded attempt was sent. For a repeatable request with a key chosen by the
 * caller, the sidecars of its upstream are queried.
 */
public final class CallResolver {
  private static final String STEP = "resolve";
  private static final Duration RETRY_AFTER_UNKNOWN = Duration.ofSeconds(2);
  private static final int MAX_SIDECARS_QUERIED = 64;

  private final LogReplica replica;
  private final RecordSink records;
  private final Function<CallerRequest, UpstreamPool> pools;

  /**
   * Creates a resolver.
   *
   * @param replica the replica of the decision state
   * @param records the sink for records of outcomes
   * @param pools returns the pool of a request's upstream
   */
  public CallResolver(
      LogReplica replica, RecordSink records, Function<CallerRequest, UpstreamPool> pools) {
    this.replica = replica;
    this.records = records;
    this.pools = pools;
  }

  /**
   * Decides what to do with a request before it is sent.
   *
   * @return the resolution; fails with the final error of the request if it must not be sent
   */
  public CompletionStage<CallResolution> resolve(CallerRequest request) {
    if (request.isRepeatable()) {
      return request.keyed() ? findAttempt(request) : proceed();
    }
    Optional<CallRecord> record = replica.read(state -> state.call(request.key()));
    if (record.isEmpty() || record.get().outcome() == RunState.NOT_RUN) {
      return proceed();
    }
    if (!record.get().requestDigest().equals(request.fingerprint())) {
      return failed(
          SnipeloomException.of(
              ErrorCode.KEY_REUSED, "the idempotency key belongs to another request"));
    }
    return queryBoundSidecar(request, record.get());
  }

  private CompletionStage<CallResolution> queryBoundSidecar(
      CallerRequest request, CallRecord record) {
    Optional<SidecarLink> link =
        pools
            .apply(request)
            .backEnd(record.sidecar().instance())
            .map(BackEnd::link)
            .filter(found -> found.incarnation().filter(record.sidecar()::equals).isPresent());
    if (link.isEmpty()) {
      return failed(unreachable(record));
    }
    boolean plantTombstone = !record.hasOutcome();
    return link.get()
        .query(new Message.CallQuery(0, record.key(), record.attempt(), plantTombstone))
        .handle((status, error) -> resolutionOf(link.get(), record, status, error))
        .thenCompose(Function.identity());
  }

  private CompletionStage<CallResolution> resolutionOf(
      SidecarLink link, CallRecord record, Message.CallStatus status, Throwable error) {
    if (error != null) {
      return failed(unreachable(record));
    }
    return switch (status.state()) {
      case RUNNING, DONE ->
          CompletableFuture.completedStage(new CallResolution.Follow(link, record.attempt()));
      case NEVER_RECEIVED, NOT_RUN -> releaseKey(record);
      case UNKNOWN -> failed(unreachable(record));
      case RAN ->
          failed(
              SnipeloomException.of(
                      ErrorCode.OUTCOME_UNKNOWN,
                      "the call ran, but its answer is no longer available")
                  .withOrigin(STEP, record.sidecar().value())
                  .withRunState(RunState.RAN));
    };
  }

  private CompletionStage<CallResolution> releaseKey(CallRecord record) {
    if (record.hasOutcome()) {
      return failed(unreachable(record));
    }
    return recordNotRun(record.key(), record.attempt())
        .thenApply(offset -> new CallResolution.Proceed());
  }

  /**
   * Records that an attempt is known not to have run, so that another attempt may use its key.
   *
   * @return the log offset of the record; completes once this process has applied it
   */
  CompletionStage<Long> recordNotRun(RequestKey key, AttemptId attempt) {
    return records.appendNow(
        List.of(new DecisionRecord.OutcomeRecorded(key, attempt, RunState.NOT_RUN)));
  }

  private static SnipeloomException unreachable(CallRecord record) {
    boolean ran = record.outcome() == RunState.RAN;
    String message =
        ran
            ? "the call ran, but the sidecar that holds its answer cannot be reached"
            : "the sidecar to which the call was assigned cannot be reached";
    return SnipeloomException.of(ErrorCode.OUTCOME_UNKNOWN, message)
        .withOrigin(STEP, record.sidecar().value())
        .withRunState(ran ? RunState.RAN : RunState.UNKNOWN)
        .withRetryAfter(RETRY_AFTER_UNKNOWN);
  }

  private CompletionStage<CallResolution> findAttempt(CallerRequest request) {
    List<CompletableFuture<CallResolution>> answers =
        pools.apply(request).backEnds().all().stream()
            .map(BackEnd::link)
            .filter(link -> link.incarnation().isPresent())
            .limit(MAX_SIDECARS_QUERIED)
            .map(link -> querySidecar(link, request.key()).toCompletableFuture())
            .toList();
    return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
        .thenApply(
            nothing ->
                answers.stream()
                    .map(CompletableFuture::join)
                    .filter(CallResolution.Follow.class::isInstance)
                    .findFirst()
                    .orElseGet(CallResolution.Proceed::new));
  }

  private static CompletionStage<CallResolution> querySidecar(SidecarLink link, RequestKey key) {
    return link.query(new Message.CallQuery(0, key, null, false))
        .handle(
            (status, error) -> {
              boolean found =
                  error == null
                      && status.attempt() != null
                      && (status.state() == CallState.RUNNING || status.state() == CallState.DONE);
              return found
                  ? new CallResolution.Follow(link, status.attempt())
                  : new CallResolution.Proceed();
            });
  }

  private static CompletionStage<CallResolution> proceed() {
    return CompletableFuture.completedStage(new CallResolution.Proceed());
  }

  private static CompletionStage<CallResolution> failed(SnipeloomException error) {
    return CompletableFuture.failedStage(error);
  }
}

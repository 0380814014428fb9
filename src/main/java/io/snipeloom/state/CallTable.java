package io.snipeloom.state;

import io.snipeloom.state.DecisionLimits.Guard;
import java.util.List;
import java.util.OptionalLong;

/** Binds calls that may not be repeated to one attempt each. */
final class CallTable {
  private final DecisionLimits limits;
  private final KeyMemory<CallRecord> calls;

  CallTable(DecisionLimits limits) {
    this.limits = limits;
    this.calls = new KeyMemory<>(limits.callMemory());
  }

  CallRecord get(RequestKey key) {
    return calls.get(key);
  }

  /** Accepts the first intent of a key; {@code blocker} is why no intent can be accepted now. */
  DecisionEvent intend(long offset, DecisionRecord.IntentRecorded intent, ErrorCode blocker) {
    RequestKey key = intent.key();
    OptionalLong issuedAt = key.issuedAtMillis();
    if (issuedAt.isEmpty()) {
      return refused(offset, intent, ErrorCode.KEY_REQUIRED, "the key carries no issue time", null);
    }
    CallRecord existing = calls.get(key);
    if (existing != null && !existing.requestDigest().equals(intent.requestDigest())) {
      return refused(
          offset, intent, ErrorCode.KEY_REUSED, "the key belongs to another request", existing);
    }
    if (isBound(existing)) {
      return refused(
          offset, intent, ErrorCode.OUTCOME_UNKNOWN, "the call is bound to an attempt", existing);
    }
    if (existing == null
        && calls.isExpired(key, issuedAt.getAsLong())
        && limits.isEnabled(Guard.KEY_WATERMARK)) {
      return refused(
          offset, intent, ErrorCode.KEY_EXPIRED, "the key is older than the memory of keys", null);
    }
    if (blocker != null) {
      return refused(offset, intent, blocker, "the sidecar or the holder takes no work", existing);
    }
    CallRecord call =
        new CallRecord(
            key, intent.attempt(), intent.sidecar(), intent.requestDigest(), offset, null);
    calls.put(key, issuedAt.getAsLong(), call);
    return new DecisionEvent.IntentAccepted(offset, key, intent.attempt(), intent.sidecar());
  }

  private boolean isBound(CallRecord existing) {
    return existing != null
        && existing.outcome() != RunState.NOT_RUN
        && limits.isEnabled(Guard.FIRST_INTENT_WINS);
  }

  private static DecisionEvent refused(
      long offset,
      DecisionRecord.IntentRecorded intent,
      ErrorCode code,
      String message,
      CallRecord existing) {
    return new DecisionEvent.IntentRefused(
        offset, intent.key(), intent.attempt(), code, message, existing);
  }

  /** Takes the first outcome of the bound attempt; an unknown one may later become run. */
  DecisionEvent conclude(long offset, DecisionRecord.OutcomeRecorded record) {
    CallRecord existing = calls.get(record.key());
    if (existing == null
        || !existing.attempt().equals(record.attempt())
        || !isChangeAllowed(existing.outcome(), record.outcome())) {
      return new DecisionEvent.OutcomeIgnored(
          offset, record.key(), record.attempt(), record.outcome());
    }
    CallRecord concluded = existing.withOutcome(record.outcome());
    calls.put(record.key(), record.key().issuedAtMillis().getAsLong(), concluded);
    return new DecisionEvent.OutcomeApplied(offset, concluded);
  }

  private static boolean isChangeAllowed(RunState from, RunState to) {
    return from == null || (from == RunState.UNKNOWN && to == RunState.RAN);
  }

  int size() {
    return calls.size();
  }

  Image image() {
    return new Image(
        calls.items().stream().map(KeyMemory.Item::value).toList(), calls.watermarks());
  }

  void restore(Image image) {
    calls.restore(
        image.calls().stream()
            .map(
                call ->
                    new KeyMemory.Item<>(call.key(), call.key().issuedAtMillis().getAsLong(), call))
            .toList(),
        image.watermarks());
  }

  /** The remembered calls in the order of their first intents, and the watermarks. */
  record Image(List<CallRecord> calls, List<KeyMemory.Watermark> watermarks) {}
}

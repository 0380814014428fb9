package io.snipeloom.state;

import io.snipeloom.state.DecisionLimits.Guard;
import java.util.List;
import java.util.OptionalLong;

/** Binds each non-idempotent call to a single attempt. */
final class CallTable {
  private final DecisionLimits limits;
  private final RecentKeys<CallRecord> calls;

  CallTable(DecisionLimits limits) {
    this.limits = limits;
    this.calls = new RecentKeys<>(limits.maxCalls());
  }

  CallRecord get(RequestKey key) {
    return calls.get(key);
  }

  /**
   * Accepts the first intent for a key, or another one after the bound attempt is known not to have
   * run. {@code refusalCode} is the reason why no intent can be accepted now, or null.
   */
  DecisionEvent recordIntent(
      long offset, DecisionRecord.IntentRecorded intent, ErrorCode refusalCode) {
    RequestKey key = intent.key();
    OptionalLong issuedAt = key.issuedAtMillis();
    if (issuedAt.isEmpty()) {
      return refused(
          offset, intent, ErrorCode.KEY_REQUIRED, "the key contains no issue time", null);
    }
    CallRecord existing = calls.get(key);
    if (existing != null && !existing.requestDigest().equals(intent.requestDigest())) {
      return refused(
          offset, intent, ErrorCode.KEY_REUSED, "the key belongs to another request", existing);
    }
    if (isBound(existing)) {
      return refused(
          offset,
          intent,
          ErrorCode.OUTCOME_UNKNOWN,
          "the call is already bound to an attempt",
          existing);
    }
    if (existing == null
        && calls.isExpired(key, issuedAt.getAsLong())
        && limits.isEnabled(Guard.KEY_WATERMARK)) {
      return refused(
          offset, intent, ErrorCode.KEY_EXPIRED, "the key is older than the retained keys", null);
    }
    if (refusalCode != null) {
      return refused(
          offset,
          intent,
          refusalCode,
          "the sidecar accepts no work or the holder is closed",
          existing);
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

  /** Records the first outcome of the bound attempt; UNKNOWN may later be changed to RAN. */
  DecisionEvent recordOutcome(long offset, DecisionRecord.OutcomeRecorded record) {
    CallRecord existing = calls.get(record.key());
    if (existing == null
        || !existing.attempt().equals(record.attempt())
        || !isChangeAllowed(existing.outcome(), record.outcome())) {
      return new DecisionEvent.OutcomeIgnored(
          offset, record.key(), record.attempt(), record.outcome());
    }
    CallRecord updated = existing.withOutcome(record.outcome());
    calls.put(record.key(), record.key().issuedAtMillis().getAsLong(), updated);
    return new DecisionEvent.OutcomeApplied(offset, updated);
  }

  private static boolean isChangeAllowed(RunState from, RunState to) {
    return from == null || (from == RunState.UNKNOWN && to == RunState.RAN);
  }

  int size() {
    return calls.size();
  }

  Image image() {
    return new Image(
        calls.items().stream().map(RecentKeys.Item::value).toList(), calls.watermarks());
  }

  void restore(Image image) {
    calls.restore(
        image.calls().stream()
            .map(
                call ->
                    new RecentKeys.Item<>(
                        call.key(), call.key().issuedAtMillis().getAsLong(), call))
            .toList(),
        image.watermarks());
  }

  /** The retained calls in the order of their first intents, and the watermarks. */
  record Image(List<CallRecord> calls, List<RecentKeys.Watermark> watermarks) {}
}

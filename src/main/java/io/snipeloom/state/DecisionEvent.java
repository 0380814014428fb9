package io.snipeloom.state;

import java.util.List;
import java.util.Map;

/** An event caused by a record of the decision stream; every reader sees the same events. */
public sealed interface DecisionEvent {

  /** Why a batch had no effect. */
  enum DropReason {
    /** A batch of the same writer with the same or a higher sequence number came earlier. */
    DUPLICATE,
    /**
     * The offset that the batch is based on lies before the retention window for writers, or before
     * an earlier stale batch of the same writer.
     */
    STALE,
    /** The batch states that it is based on an offset at or after its own. */
    INVALID
  }

  /**
   * The token totals of a budget after the event that carries them.
   *
   * @param pool the tokens that no holder holds
   * @param held the unspent tokens of all holders, closed holders included
   * @param stranded the part of {@code held} that belongs to closed holders
   */
  record BudgetLevel(BudgetId budget, long pool, long held, long stranded) {}

  /** A batch had no effect; after {@code STALE}, its writer resends the records in a new batch. */
  record BatchDropped(long offset, Incarnation writer, long sequence, DropReason reason)
      implements DecisionEvent {}

  /** A configuration change was accepted and is now effective. */
  record ConfigurationAccepted(long offset, ConfigurationChange change) implements DecisionEvent {}

  /** A configuration change was refused because it conflicts with another or is invalid. */
  record ConfigurationRefused(
      long offset,
      ConfigurationChange change,
      ErrorCode code,
      String message,
      List<Violation> violations)
      implements DecisionEvent {}

  /** The tokens of a top-up were added to the budget. */
  record ToppedUp(long offset, TopUp topUp, BudgetLevel level) implements DecisionEvent {}

  /** A claim was granted in full, in part or with 0 tokens. */
  record ClaimGranted(
      long offset, Incarnation holder, long asked, long needed, long granted, BudgetLevel level)
      implements DecisionEvent {

    /**
     * Returns the needed tokens that were not granted.
     *
     * @return the number of tokens; 0 if all needed tokens were granted
     */
    public long shortfall() {
      return Math.max(0, needed - granted);
    }
  }

  /** A claim was refused because its holder is closed. */
  record ClaimRefused(long offset, Incarnation holder, BudgetId budget) implements DecisionEvent {}

  /** A holder returned tokens to the pool. */
  record ReturnApplied(long offset, Incarnation holder, long tokens, BudgetLevel level)
      implements DecisionEvent {}

  /**
   * A settlement was processed.
   *
   * @param counted the tokens that now count as consumed by the attempt; 0 if the record changed
   *     nothing
   * @param change the change in consumed tokens; negative if an exact record replaced an estimate
   *     that was too high, 0 if the record was not counted
   * @param exact whether the record states the exact consumption rather than an estimate
   * @param effect whether the record was counted, and if not, why
   * @param billed whether the record billed the request
   * @param level the token totals of the budget after the settlement
   */
  record SettlementApplied(
      long offset,
      AttemptId attempt,
      RequestKey key,
      long counted,
      long change,
      boolean exact,
      SettlementEffect effect,
      boolean billed,
      BudgetLevel level)
      implements DecisionEvent {}

  /** The effect of a settlement. */
  enum SettlementEffect {
    /** It was the first settlement of the attempt and was counted. */
    COUNTED,
    /** It was exact and replaced an estimate. */
    REPLACED,
    /** The attempt had already been settled. */
    DUPLICATE,
    /** The holder is unknown, or its unspent tokens have already been released. */
    UNCOUNTED
  }

  /** A non-idempotent call is bound to an attempt, which may now be sent. */
  record IntentAccepted(long offset, RequestKey key, AttemptId attempt, Incarnation sidecar)
      implements DecisionEvent {}

  /**
   * An intent was refused.
   *
   * @param attempt the attempt, which must not be sent
   * @param code the reason for the refusal
   * @param message a readable description of the reason
   * @param existing the call recorded for the key; null if there is none
   */
  record IntentRefused(
      long offset,
      RequestKey key,
      AttemptId attempt,
      ErrorCode code,
      String message,
      CallRecord existing)
      implements DecisionEvent {}

  /** The outcome of a call was recorded. */
  record OutcomeApplied(long offset, CallRecord call) implements DecisionEvent {}

  /**
   * An outcome had no effect because the call is unknown, is bound to another attempt or already
   * has a final outcome.
   */
  record OutcomeIgnored(long offset, RequestKey key, AttemptId attempt, RunState outcome)
      implements DecisionEvent {}

  /** A sidecar incarnation joined and may receive work. */
  record SidecarJoined(long offset, Incarnation sidecar, UpstreamId upstream)
      implements DecisionEvent {}

  /** A sidecar incarnation settled all its work and left. */
  record SidecarLeft(long offset, Incarnation sidecar) implements DecisionEvent {}

  /**
   * A sidecar incarnation was replaced before it left. The holders that sent work to it must settle
   * that work.
   */
  record SidecarLost(long offset, Incarnation sidecar) implements DecisionEvent {}

  /** A holder was closed: it must stop spending, and sidecars refuse new work from it. */
  record HolderClosed(long offset, Incarnation holder) implements DecisionEvent {}

  /** The unspent tokens of a closed holder were returned to the pools of their budgets. */
  record HolderReleased(long offset, Incarnation holder, Map<BudgetId, Long> tokens)
      implements DecisionEvent {

    /** Copies the tokens. */
    public HolderReleased {
      tokens = Map.copyOf(tokens);
    }
  }

  /** The unspent tokens of a closed holder were written off and now count as consumed. */
  record HolderWrittenOff(
      long offset, Incarnation holder, String operator, Map<BudgetId, Long> tokens)
      implements DecisionEvent {

    /** Copies the tokens. */
    public HolderWrittenOff {
      tokens = Map.copyOf(tokens);
    }
  }

  /** A request was in flight when an engine crashed; it must run alone until it is cleared. */
  record SuspectReported(long offset, String fingerprint) implements DecisionEvent {}

  /** A suspect request completed while it ran alone and is no longer suspect. */
  record SuspectCleared(long offset, String fingerprint) implements DecisionEvent {}

  /** A request is known to crash engines and is refused from now on. */
  record RequestConvicted(long offset, String fingerprint) implements DecisionEvent {}

  /**
   * A conviction ended.
   *
   * @param lifted true if an operator lifted it, false if it expired
   */
  record ConvictionEnded(long offset, String fingerprint, boolean lifted)
      implements DecisionEvent {}

  /** An order to an engine; its log offset is its fencing number. */
  record OrderIssued(long offset, InstanceId target, EngineOrder order) implements DecisionEvent {

    /** Returns the fencing number of the order, which is the log offset of its record. */
    public long fencingNumber() {
      return offset;
    }
  }

  /**
   * All chunks of a snapshot are in the log.
   *
   * @param asOf the last offset that the snapshot covers
   */
  record SnapshotCompleted(long offset, long asOf) implements DecisionEvent {}
}

package io.snipeloom.state;

import java.util.List;
import java.util.Map;

/** An event that follows from a record of the decision stream, equal at every reader. */
public sealed interface DecisionEvent {

  /** Why a batch had no effect. */
  enum DropReason {
    /** A batch of this writer with the same or a later sequence was applied before. */
    DUPLICATE,
    /** The batch was built on an offset before the window in which writers are remembered. */
    STALE,
    /** The batch claims to be built on an offset at or after its own. */
    INVALID
  }

  /** A budget as it stands after the event that carries it. */
  record BudgetLevel(BudgetId budget, long pool, long held, long stranded) {}

  /** A batch had no effect; after {@code STALE} its writer sends the records in a new batch. */
  record BatchDropped(long offset, Incarnation writer, long sequence, DropReason reason)
      implements DecisionEvent {}

  /** A change of configuration is in force. */
  record ConfigurationAccepted(long offset, ConfigurationChange change) implements DecisionEvent {}

  /** A change of configuration lost or broke a rule. */
  record ConfigurationRefused(
      long offset,
      ConfigurationChange change,
      ErrorCode code,
      String message,
      List<Violation> violations)
      implements DecisionEvent {}

  /** A top-up entered the pool. */
  record ToppedUp(long offset, TopUp topUp, BudgetLevel level) implements DecisionEvent {}

  /** A claim was granted, possibly in part or with no tokens. */
  record ClaimGranted(
      long offset, Incarnation holder, long asked, long needed, long granted, BudgetLevel level)
      implements DecisionEvent {

    /**
     * Returns the tokens that the holder needs and did not get.
     *
     * @return the tokens; 0 if its need is met
     */
    public long shortfall() {
      return Math.max(0, needed - granted);
    }
  }

  /** A claim was refused since its holder is closed. */
  record ClaimRefused(long offset, Incarnation holder, BudgetId budget) implements DecisionEvent {}

  /** Tokens went back to the pool. */
  record ReturnApplied(long offset, Incarnation holder, long tokens, BudgetLevel level)
      implements DecisionEvent {}

  /**
   * A settlement was applied.
   *
   * @param offset the offset
   * @param attempt the attempt
   * @param key the request
   * @param counted the tokens that the attempt counts as consumed from now on; 0 if the record
   *     changed nothing
   * @param change the change of the tokens consumed; negative if an estimate was replaced, 0 for a
   *     duplicate
   * @param exact whether the record gave the true figure
   * @param effect how the record was taken
   * @param billed whether the record put the request on the bill
   * @param level the budget afterwards
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

  /** How a settlement was taken. */
  enum SettlementEffect {
    /** The first record of the attempt. */
    COUNTED,
    /** An exact record in place of an estimate. */
    REPLACED,
    /** The attempt was settled before. */
    DUPLICATE,
    /** The holder is unknown, or its remainder was released before. */
    UNCOUNTED
  }

  /** A call that may not be repeated is bound to an attempt, which may now be sent. */
  record IntentAccepted(long offset, RequestKey key, AttemptId attempt, Incarnation sidecar)
      implements DecisionEvent {}

  /**
   * An intent was refused.
   *
   * @param offset the offset
   * @param key the request
   * @param attempt the attempt that must not be sent
   * @param code the reason
   * @param message the reason in words
   * @param existing what is recorded of the call; null if nothing
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

  /** An outcome had no effect since the call has a final outcome or belongs to another attempt. */
  record OutcomeIgnored(long offset, RequestKey key, AttemptId attempt, RunState outcome)
      implements DecisionEvent {}

  /** A sidecar incarnation may take work. */
  record SidecarJoined(long offset, Incarnation sidecar, UpstreamId upstream)
      implements DecisionEvent {}

  /** A sidecar incarnation settled all its work and left. */
  record SidecarLeft(long offset, Incarnation sidecar) implements DecisionEvent {}

  /** A sidecar incarnation was replaced before it left; its holders settle what they sent to it. */
  record SidecarLost(long offset, Incarnation sidecar) implements DecisionEvent {}

  /** A holder was closed: it spends no more, and sidecars take no new work of it. */
  record HolderClosed(long offset, Incarnation holder) implements DecisionEvent {}

  /** The remainder of a closed holder went back to the pools. */
  record HolderReleased(long offset, Incarnation holder, Map<BudgetId, Long> tokens)
      implements DecisionEvent {

    /** Copies the tokens. */
    public HolderReleased {
      tokens = Map.copyOf(tokens);
    }
  }

  /** The remainder of a closed holder counts as consumed from now on. */
  record HolderWrittenOff(
      long offset, Incarnation holder, String operator, Map<BudgetId, Long> tokens)
      implements DecisionEvent {

    /** Copies the tokens. */
    public HolderWrittenOff {
      tokens = Map.copyOf(tokens);
    }
  }

  /** A request was in flight when an engine crashed; it must run alone until cleared. */
  record SuspectNoted(long offset, String fingerprint) implements DecisionEvent {}

  /** A suspect ran alone to its end. */
  record SuspectCleared(long offset, String fingerprint) implements DecisionEvent {}

  /** A request crashes its engines and is refused from now on. */
  record Convicted(long offset, String fingerprint) implements DecisionEvent {}

  /** A conviction was lifted by an operator or has expired. */
  record ConvictionEnded(long offset, String fingerprint, boolean lifted)
      implements DecisionEvent {}

  /** An order to an engine; its fencing number is the offset. */
  record OrderIssued(long offset, InstanceId target, EngineOrder order) implements DecisionEvent {

    /**
     * Returns the fencing number of the order.
     *
     * @return the offset of the record
     */
    public long fencingNumber() {
      return offset;
    }
  }

  /** All chunks of a snapshot are in the log. */
  record SnapshotCompleted(long offset, long asOf) implements DecisionEvent {}
}

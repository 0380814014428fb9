package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A record of the decision stream. Every reader applies the records in the order of the log and so
 * reaches the same decisions.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = DecisionRecord.ConfigurationChanged.class, name = "cfg"),
  @JsonSubTypes.Type(value = DecisionRecord.ClaimRequested.class, name = "claim"),
  @JsonSubTypes.Type(value = DecisionRecord.ClaimReturned.class, name = "return"),
  @JsonSubTypes.Type(value = DecisionRecord.AttemptSettled.class, name = "settle"),
  @JsonSubTypes.Type(value = DecisionRecord.IntentRecorded.class, name = "intent"),
  @JsonSubTypes.Type(value = DecisionRecord.OutcomeRecorded.class, name = "outcome"),
  @JsonSubTypes.Type(value = DecisionRecord.SidecarJoined.class, name = "sjoin"),
  @JsonSubTypes.Type(value = DecisionRecord.SidecarLeft.class, name = "sleft"),
  @JsonSubTypes.Type(value = DecisionRecord.HolderClosed.class, name = "hclose"),
  @JsonSubTypes.Type(value = DecisionRecord.HolderDrained.class, name = "hdrain"),
  @JsonSubTypes.Type(value = DecisionRecord.HolderWrittenOff.class, name = "hwoff"),
  @JsonSubTypes.Type(value = DecisionRecord.CrashReported.class, name = "crash"),
  @JsonSubTypes.Type(value = DecisionRecord.ConvictionLifted.class, name = "lift"),
  @JsonSubTypes.Type(value = DecisionRecord.OrderIssued.class, name = "order")
})
public sealed interface DecisionRecord {

  /** A change of configuration is proposed; readers accept or refuse it. */
  record ConfigurationChanged(ConfigurationChange change) implements DecisionRecord {}

  /** A holder asks for tokens; readers grant the lesser of the tokens asked and the pool. */
  record ClaimRequested(Incarnation holder, BudgetId budget, long askedTokens)
      implements DecisionRecord {}

  /** A holder gives unspent tokens back to the pool. */
  record ClaimReturned(Incarnation holder, BudgetId budget, long tokens)
      implements DecisionRecord {}

  /**
   * The tokens that an attempt consumed, drawn from the claim of its holder.
   *
   * @param attempt the attempt
   * @param key the request
   * @param issuedAtMillis the issue time of the request, in milliseconds since the epoch
   * @param budget the budget
   * @param requestClass the request class
   * @param consumedTokens the tokens consumed
   * @param exact false for an upper bound written by a router whose sidecar is lost; a later exact
   *     record replaces it and credits the difference
   * @param billed whether the customer received the answer and is billed for it
   */
  record AttemptSettled(
      AttemptId attempt,
      RequestKey key,
      long issuedAtMillis,
      BudgetId budget,
      RequestClassId requestClass,
      long consumedTokens,
      boolean exact,
      boolean billed)
      implements DecisionRecord {}

  /** A call that may not be repeated is bound to one sidecar incarnation before it is sent. */
  record IntentRecorded(
      RequestKey key, AttemptId attempt, Incarnation sidecar, String requestDigest)
      implements DecisionRecord {}

  /** The outcome of a call that may not be repeated. */
  record OutcomeRecorded(RequestKey key, AttemptId attempt, RunState outcome)
      implements DecisionRecord {}

  /** A sidecar incarnation announces itself before it accepts work. */
  record SidecarJoined(Incarnation sidecar, UpstreamId upstream) implements DecisionRecord {}

  /** A sidecar incarnation has settled all its work and will accept no more. */
  record SidecarLeft(Incarnation sidecar) implements DecisionRecord {}

  /** A holder is closed: sidecars refuse its new work and report when its old work is settled. */
  record HolderClosed(Incarnation holder) implements DecisionRecord {}

  /** A sidecar has settled all work of a closed holder. */
  record HolderDrained(Incarnation holder, Incarnation sidecar) implements DecisionRecord {}

  /** An operator gives up on the remainder of a closed holder, which then counts as consumed. */
  record HolderWrittenOff(Incarnation holder, String operator) implements DecisionRecord {}

  /** A request was in flight when an engine crashed. */
  record CrashReported(String fingerprint, Incarnation sidecar, boolean alone)
      implements DecisionRecord {}

  /** An operator lifts the conviction of a request. */
  record ConvictionLifted(String fingerprint, String operator) implements DecisionRecord {}

  /** An order to the engine behind one sidecar slot; its offset is the fencing number. */
  record OrderIssued(InstanceId target, EngineOrder order) implements DecisionRecord {}
}

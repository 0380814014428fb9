package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A record of the decision stream. Every reader applies the records in log order and therefore
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
  @JsonSubTypes.Type(value = DecisionRecord.SuspectCleared.class, name = "clear"),
  @JsonSubTypes.Type(value = DecisionRecord.OrderIssued.class, name = "order"),
  @JsonSubTypes.Type(value = DecisionRecord.SnapshotChunk.class, name = "snap")
})
public sealed interface DecisionRecord {

  /** A proposed configuration change, which readers accept or refuse when they apply it. */
  record ConfigurationChanged(ConfigurationChange change) implements DecisionRecord {

    /** Checks the components. */
    public ConfigurationChanged {
      RecordChecks.requirePresent("change", change);
    }
  }

  /**
   * A holder claims tokens of a budget. Readers grant the needed tokens as far as the pool allows.
   * They grant more than the needed tokens only up to a fraction of the pool, so that optional
   * tokens cannot drain it.
   *
   * @param askedTokens the tokens asked for, including the needed ones
   * @param neededTokens the tokens without which a request would have to wait
   */
  record ClaimRequested(Incarnation holder, BudgetId budget, long askedTokens, long neededTokens)
      implements DecisionRecord {

    /** Checks the components. */
    public ClaimRequested {
      RecordChecks.requirePresent("claim", holder, budget);
      RecordChecks.requireTokenCount("claim", askedTokens);
      RecordChecks.requireTokenCount("claim", neededTokens);
      RecordChecks.require(
          neededTokens <= askedTokens, "claim", "needed tokens exceed the asked tokens");
    }

    /** Returns a claim that needs all the tokens that it asks for. */
    public static ClaimRequested forNeededTokens(Incarnation holder, BudgetId budget, long tokens) {
      return new ClaimRequested(holder, budget, tokens, tokens);
    }
  }

  /** A holder returns unspent tokens to the pool of a budget. */
  record ClaimReturned(Incarnation holder, BudgetId budget, long tokens) implements DecisionRecord {

    /** Checks the components. */
    public ClaimReturned {
      RecordChecks.requirePresent("return", holder, budget);
      RecordChecks.requireTokenCount("return", tokens);
    }
  }

  /**
   * The number of tokens that an attempt consumed, charged to the tokens held by its holder.
   *
   * @param issuedAtMillis the issue time of the request in milliseconds since the epoch, used if
   *     the key carries none
   * @param exact false for an upper bound written by a router that lost the sidecar; a later exact
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
      implements DecisionRecord {

    /** Checks the components. */
    public AttemptSettled {
      RecordChecks.requirePresent("settlement", attempt, key, budget);
      RecordChecks.requireTokenCount("settlement", consumedTokens);
    }
  }

  /** Binds a non-idempotent call to one sidecar incarnation before the call is sent. */
  record IntentRecorded(
      RequestKey key, AttemptId attempt, Incarnation sidecar, String requestDigest)
      implements DecisionRecord {

    /** Checks the components. */
    public IntentRecorded {
      RecordChecks.requirePresent("intent", key, attempt, sidecar, requestDigest);
    }
  }

  /** The outcome of a non-idempotent call. */
  record OutcomeRecorded(RequestKey key, AttemptId attempt, RunState outcome)
      implements DecisionRecord {

    /** Checks the components. */
    public OutcomeRecorded {
      RecordChecks.requirePresent("outcome", key, attempt, outcome);
    }
  }

  /** A sidecar incarnation joins the fleet, before it accepts work. */
  record SidecarJoined(Incarnation sidecar, UpstreamId upstream) implements DecisionRecord {

    /** Checks the components. */
    public SidecarJoined {
      RecordChecks.requirePresent("join", sidecar);
    }
  }

  /** A sidecar incarnation has settled all its work and accepts no more. */
  record SidecarLeft(Incarnation sidecar) implements DecisionRecord {

    /** Checks the components. */
    public SidecarLeft {
      RecordChecks.requirePresent("leave", sidecar);
    }
  }

  /**
   * A holder is closed: sidecars refuse new work from it and report when its earlier work is
   * settled.
   */
  record HolderClosed(Incarnation holder) implements DecisionRecord {

    /** Checks the components. */
    public HolderClosed {
      RecordChecks.requirePresent("close", holder);
    }
  }

  /**
   * All work that a holder sent to a sidecar is settled. For a closed holder, the sidecar writes
   * this record; for a lost sidecar incarnation, the open holder writes it.
   */
  record HolderDrained(Incarnation holder, Incarnation sidecar) implements DecisionRecord {

    /** Checks the components. */
    public HolderDrained {
      RecordChecks.requirePresent("drain", holder, sidecar);
    }
  }

  /** An operator writes off the unspent tokens of a closed holder, which then count as consumed. */
  record HolderWrittenOff(Incarnation holder, String operator) implements DecisionRecord {

    /** Checks the components. */
    public HolderWrittenOff {
      RecordChecks.requirePresent("write-off", holder);
    }
  }

  /**
   * A request was in flight when an engine crashed.
   *
   * @param fingerprint the digest of the request body
   * @param alone whether no request with another fingerprint was in flight
   */
  record CrashReported(String fingerprint, Incarnation sidecar, boolean alone)
      implements DecisionRecord {

    /** Checks the components. */
    public CrashReported {
      RecordChecks.requirePresent("crash", fingerprint, sidecar);
    }
  }

  /** A suspect request completed while it ran alone, so it did not cause the crash. */
  record SuspectCleared(String fingerprint, Incarnation sidecar) implements DecisionRecord {

    /** Checks the components. */
    public SuspectCleared {
      RecordChecks.requirePresent("clear", fingerprint);
    }
  }

  /** An operator lifts the conviction of a request, which is accepted again. */
  record ConvictionLifted(String fingerprint, String operator) implements DecisionRecord {

    /** Checks the components. */
    public ConvictionLifted {
      RecordChecks.requirePresent("lift", fingerprint);
    }
  }

  /** An order to the engine behind a sidecar instance; its log offset is its fencing number. */
  record OrderIssued(InstanceId target, EngineOrder order) implements DecisionRecord {

    /** Checks the components. */
    public OrderIssued {
      RecordChecks.requirePresent("order", target, order);
    }
  }

  /**
   * A part of a snapshot of the decision state.
   *
   * @param asOf the last offset that the snapshot covers
   * @param index the index of the chunk, from 0
   * @param count the number of chunks of the snapshot
   */
  record SnapshotChunk(long asOf, int index, int count, byte[] data) implements DecisionRecord {

    /** Checks the components. */
    public SnapshotChunk {
      RecordChecks.requirePresent("snapshot chunk", data);
      RecordChecks.require(index >= 0 && index < count, "snapshot chunk", "index out of range");
    }
  }
}

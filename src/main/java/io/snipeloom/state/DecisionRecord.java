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
  @JsonSubTypes.Type(value = DecisionRecord.SuspectCleared.class, name = "clear"),
  @JsonSubTypes.Type(value = DecisionRecord.OrderIssued.class, name = "order"),
  @JsonSubTypes.Type(value = DecisionRecord.SnapshotChunk.class, name = "snap")
})
public sealed interface DecisionRecord {

  /** A change of configuration is proposed; readers accept or refuse it. */
  record ConfigurationChanged(ConfigurationChange change) implements DecisionRecord {

    /** Checks the parts. */
    public ConfigurationChanged {
      RecordChecks.present("change", change);
    }
  }

  /**
   * A holder asks for tokens; readers grant the lesser of the tokens asked and the pool, but for
   * what goes beyond its need at most a fraction of the pool, so that no wish drains it.
   *
   * @param holder the holder
   * @param budget the budget
   * @param askedTokens the tokens wished for, its need included
   * @param neededTokens the tokens without which a request must wait
   */
  record ClaimRequested(Incarnation holder, BudgetId budget, long askedTokens, long neededTokens)
      implements DecisionRecord {

    /** Checks the parts. */
    public ClaimRequested {
      RecordChecks.present("claim", holder, budget);
      RecordChecks.tokens("claim", askedTokens);
      RecordChecks.tokens("claim", neededTokens);
      RecordChecks.require(neededTokens <= askedTokens, "claim", "needs more than it asks");
    }

    /**
     * Returns a claim that needs all tokens that it asks.
     *
     * @param holder the holder
     * @param budget the budget
     * @param tokens the tokens
     * @return the claim
     */
    public static ClaimRequested forNeededTokens(Incarnation holder, BudgetId budget, long tokens) {
      return new ClaimRequested(holder, budget, tokens, tokens);
    }
  }

  /** A holder gives unspent tokens back to the pool. */
  record ClaimReturned(Incarnation holder, BudgetId budget, long tokens) implements DecisionRecord {

    /** Checks the parts. */
    public ClaimReturned {
      RecordChecks.present("return", holder, budget);
      RecordChecks.tokens("return", tokens);
    }
  }

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
      implements DecisionRecord {

    /** Checks the parts. */
    public AttemptSettled {
      RecordChecks.present("settlement", attempt, key, budget);
      RecordChecks.tokens("settlement", consumedTokens);
    }
  }

  /** A call that may not be repeated is bound to one sidecar incarnation before it is sent. */
  record IntentRecorded(
      RequestKey key, AttemptId attempt, Incarnation sidecar, String requestDigest)
      implements DecisionRecord {

    /** Checks the parts. */
    public IntentRecorded {
      RecordChecks.present("intent", key, attempt, sidecar, requestDigest);
    }
  }

  /** The outcome of a call that may not be repeated. */
  record OutcomeRecorded(RequestKey key, AttemptId attempt, RunState outcome)
      implements DecisionRecord {

    /** Checks the parts. */
    public OutcomeRecorded {
      RecordChecks.present("outcome", key, attempt, outcome);
    }
  }

  /** A sidecar incarnation announces itself before it accepts work. */
  record SidecarJoined(Incarnation sidecar, UpstreamId upstream) implements DecisionRecord {

    /** Checks the parts. */
    public SidecarJoined {
      RecordChecks.present("join", sidecar);
    }
  }

  /** A sidecar incarnation has settled all its work and will accept no more. */
  record SidecarLeft(Incarnation sidecar) implements DecisionRecord {

    /** Checks the parts. */
    public SidecarLeft {
      RecordChecks.present("leave", sidecar);
    }
  }

  /** A holder is closed: sidecars refuse its new work and report when its old work is settled. */
  record HolderClosed(Incarnation holder) implements DecisionRecord {

    /** Checks the parts. */
    public HolderClosed {
      RecordChecks.present("close", holder);
    }
  }

  /**
   * All work that a holder sent to a sidecar is settled. The sidecar writes it for a closed holder;
   * a holder writes it itself for a sidecar incarnation that was lost.
   */
  record HolderDrained(Incarnation holder, Incarnation sidecar) implements DecisionRecord {

    /** Checks the parts. */
    public HolderDrained {
      RecordChecks.present("drain", holder, sidecar);
    }
  }

  /** An operator gives up on the remainder of a closed holder, which then counts as consumed. */
  record HolderWrittenOff(Incarnation holder, String operator) implements DecisionRecord {

    /** Checks the parts. */
    public HolderWrittenOff {
      RecordChecks.present("write-off", holder);
    }
  }

  /** A request was in flight when an engine crashed. */
  record CrashReported(String fingerprint, Incarnation sidecar, boolean alone)
      implements DecisionRecord {

    /** Checks the parts. */
    public CrashReported {
      RecordChecks.present("crash", fingerprint, sidecar);
    }
  }

  /** A suspect request ran alone to its end, so it did not cause the crash. */
  record SuspectCleared(String fingerprint, Incarnation sidecar) implements DecisionRecord {

    /** Checks the parts. */
    public SuspectCleared {
      RecordChecks.present("clear", fingerprint);
    }
  }

  /** An operator lifts the conviction of a request. */
  record ConvictionLifted(String fingerprint, String operator) implements DecisionRecord {

    /** Checks the parts. */
    public ConvictionLifted {
      RecordChecks.present("lift", fingerprint);
    }
  }

  /** An order to the engine behind one sidecar slot; its offset is the fencing number. */
  record OrderIssued(InstanceId target, EngineOrder order) implements DecisionRecord {

    /** Checks the parts. */
    public OrderIssued {
      RecordChecks.present("order", target, order);
    }
  }

  /**
   * A part of a snapshot of the decision state.
   *
   * @param asOf the last offset that the snapshot contains
   * @param index the number of the chunk, from 0
   * @param count the number of chunks of the snapshot
   * @param data the bytes of the chunk
   */
  record SnapshotChunk(long asOf, int index, int count, byte[] data) implements DecisionRecord {

    /** Checks the parts. */
    public SnapshotChunk {
      RecordChecks.present("snapshot chunk", data);
      RecordChecks.require(index >= 0 && index < count, "snapshot chunk", "index out of range");
    }
  }
}

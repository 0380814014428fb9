package io.snipeloom.state;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The state that follows from the records of the decision stream.
 *
 * <p>Deterministic: two readers that applied the same records have equal states and saw equal
 * events. Mutable and not thread-safe. Start from {@link #empty()} at the first offset of the
 * stream, or from a snapshot, and call {@link #apply} for each later record in order. The cost of a
 * record does not grow with the number of budgets, keys or batches.
 */
public final class DecisionState {
  private static final long BEFORE_FIRST_OFFSET = -1;

  private final DecisionTables tables;
  private long appliedOffset;

  private DecisionState(DecisionTables tables, long appliedOffset) {
    this.tables = tables;
    this.appliedOffset = appliedOffset;
  }

  /**
   * Returns the state before the first record of a stream.
   *
   * @return the empty state
   */
  public static DecisionState empty() {
    return empty(DecisionLimits.DEFAULT);
  }

  static DecisionState empty(DecisionLimits limits) {
    return new DecisionState(new DecisionTables(limits), BEFORE_FIRST_OFFSET);
  }

  /**
   * Returns the state that a snapshot holds.
   *
   * @param snapshot the bytes of {@link #snapshot()}
   * @return the state
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the bytes are no snapshot
   */
  public static DecisionState restore(byte[] snapshot) {
    return restore(snapshot, DecisionLimits.DEFAULT);
  }

  static DecisionState restore(byte[] snapshot, DecisionLimits limits) {
    StateImage image = RecordCodec.read(snapshot, StateImage.class);
    DecisionTables tables = new DecisionTables(limits);
    try {
      tables.restore(image);
    } catch (RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_RECORD, "cannot restore the snapshot")
          .withOrigin("restore", "")
          .withCause(e);
    }
    return new DecisionState(tables, image.appliedOffset());
  }

  /**
   * Applies a batch of the log.
   *
   * @param offset the offset of the batch, greater than that of every batch before
   * @param batch the batch
   * @return what followed from it
   * @throws SnipeloomException with {@link ErrorCode#INVARIANT_VIOLATED} if the offset does not
   *     increase or an invariant is broken; the state must be discarded then
   */
  public ApplyResult apply(long offset, RecordBatch batch) {
    advanceTo(offset);
    List<DecisionEvent> events = new ArrayList<>(batch.records().size());
    tables.crashes().expire(offset, events);
    Optional<DecisionEvent.DropReason> dropped = tables.writers().admit(offset, batch);
    if (dropped.isPresent()) {
      drop(offset, batch, dropped.get(), events);
    } else {
      RecordApplier applier = new RecordApplier(tables, offset, batch.writer(), events);
      batch.records().forEach(applier::apply);
    }
    return new ApplyResult(offset, events);
  }

  /**
   * Passes a log record that cannot be decoded; every reader passes it alike.
   *
   * @param offset the offset of the record, greater than that of every record before
   * @throws SnipeloomException with {@link ErrorCode#INVARIANT_VIOLATED} if the offset does not
   *     increase
   */
  public void skip(long offset) {
    advanceTo(offset);
    tables.counters().add(DecisionCounter.RECORDS_MALFORMED, 1);
  }

  private void advanceTo(long offset) {
    if (offset <= appliedOffset) {
      throw SnipeloomException.of(
              ErrorCode.INVARIANT_VIOLATED,
              "offset " + offset + " does not follow " + appliedOffset)
          .withOrigin("apply", "");
    }
    appliedOffset = offset;
  }

  private void drop(
      long offset, RecordBatch batch, DecisionEvent.DropReason reason, List<DecisionEvent> events) {
    DecisionCounter counter =
        switch (reason) {
          case DUPLICATE -> DecisionCounter.BATCHES_DUPLICATE;
          case STALE -> DecisionCounter.BATCHES_STALE;
          case INVALID -> DecisionCounter.RECORDS_MALFORMED;
        };
    tables.counters().add(counter, 1);
    events.add(new DecisionEvent.BatchDropped(offset, batch.writer(), batch.sequence(), reason));
  }

  /**
   * Returns the offset of the last record applied.
   *
   * @return the offset; -1 before the first
   */
  public long appliedOffset() {
    return appliedOffset;
  }

  /**
   * Returns whether the state can go on with a log that starts at an offset.
   *
   * @param firstRetained the smallest offset that the log still keeps
   * @return false if the log has dropped a record that the state lacks
   */
  public boolean canContinueFrom(long firstRetained) {
    return firstRetained <= appliedOffset + 1;
  }

  /**
   * Returns the configuration in force.
   *
   * @return the document, immutable
   */
  public ConfigurationDocument configuration() {
    return tables.configuration();
  }

  /**
   * Returns the account of a budget.
   *
   * @param id the budget
   * @return the account; empty if the budget was never topped up
   */
  public Optional<BudgetAccount> budget(BudgetId id) {
    return tables.budgets().contains(id)
        ? Optional.of(tables.budgets().get(id).account())
        : Optional.empty();
  }

  /**
   * Returns what is recorded of a call that may not be repeated.
   *
   * @param key the request
   * @return the call; empty if there is no intent or it was forgotten
   */
  public Optional<CallRecord> call(RequestKey key) {
    return Optional.ofNullable(tables.calls().get(key));
  }

  /**
   * Returns whether a request is known to be billed.
   *
   * @param key the request
   * @return true if it is billed and remembered
   */
  public boolean isBilled(RequestKey key) {
    return tables.settlements().isBilled(key);
  }

  /**
   * Returns whether a holder claims and spends.
   *
   * @param holder the holder
   * @return true from its first claim until it is closed
   */
  public boolean isOpen(Incarnation holder) {
    return tables.holders().isOpen(holder);
  }

  /**
   * Returns whether a holder is known to be closed. Since closed holders are forgotten after long,
   * a sidecar asks {@link #isOpen} before it takes work of a holder that it does not know.
   *
   * @param holder the holder
   * @return true if it is closed and remembered
   */
  public boolean isClosed(Incarnation holder) {
    return tables.holders().isClosed(holder);
  }

  /**
   * Returns the holders that may claim and spend.
   *
   * @return the incarnations, sorted
   */
  public List<Incarnation> openHolders() {
    return tables.holders().openIds();
  }

  /**
   * Returns the closed holders whose remainder is still stranded, in the order of their closing.
   *
   * @return the holders
   */
  public List<Incarnation> strandedHolders() {
    return tables.holders().closedIds();
  }

  /**
   * Returns the sidecars whose report on a holder is missing.
   *
   * @param holder the holder
   * @return for a closed holder the sidecars that must report before its remainder is released; for
   *     an open one the lost sidecars on which it must report itself
   */
  public List<Incarnation> awaitedSidecars(Incarnation holder) {
    return tables
        .holders()
        .find(holder)
        .map(known -> known.awaited().stream().mapToObj(tables.sidecars()::at).toList())
        .orElse(List.of())
        .stream()
        .map(Sidecar::incarnation)
        .sorted()
        .toList();
  }

  /**
   * Returns the live tables.sidecars().
   *
   * @return the incarnations, in order
   */
  public List<Incarnation> liveSidecars() {
    return tables.sidecars().live().stream().map(Sidecar::incarnation).sorted().toList();
  }

  /**
   * Returns the live sidecar of a slot.
   *
   * @param slot the slot
   * @return the incarnation; empty if none has joined
   */
  public Optional<Incarnation> liveSidecar(InstanceId slot) {
    return tables.sidecars().liveIn(slot).map(Sidecar::incarnation);
  }

  /**
   * Returns whether a sidecar incarnation is live.
   *
   * @param sidecar the incarnation
   * @return true from its joining until it leaves or is replaced
   */
  public boolean isLive(Incarnation sidecar) {
    return tables.sidecars().isLive(sidecar);
  }

  /**
   * Returns whether a request must run alone.
   *
   * @param fingerprint the digest of its body
   * @return true if it was in flight at a crash and is neither cleared nor convicted
   */
  public boolean isSuspect(String fingerprint) {
    return tables.crashes().isSuspect(fingerprint);
  }

  /**
   * Returns whether a request is refused since it crashes its engines.
   *
   * @param fingerprint the digest of its body
   * @return true if it is convicted
   */
  public boolean isConvicted(String fingerprint) {
    return tables.crashes().isConvicted(fingerprint);
  }

  /**
   * Returns the last order of each kind to an engine.
   *
   * @param target the sidecar slot of the engine
   * @return the orders, by rising fencing number
   */
  public List<IssuedOrder> orders(InstanceId target) {
    return tables.orders().of(target);
  }

  /**
   * Returns a count of a rare outcome since the start of the stream.
   *
   * @param counter the outcome
   * @return the count
   */
  public long count(DecisionCounter counter) {
    return tables.counters().get(counter);
  }

  /**
   * Returns the offset up to which the latest whole snapshot in the log reaches.
   *
   * @return the offset; -1 if there is none
   */
  public long latestSnapshotOffset() {
    return tables.snapshots().latestAsOf();
  }

  /**
   * Returns the offset of the first chunk of the latest whole snapshot in the log.
   *
   * @return the offset; -1 if there is none
   */
  public long latestSnapshotStart() {
    return tables.snapshots().latestStart();
  }

  /**
   * Returns the state as bytes, equal for equal states.
   *
   * @return the bytes
   */
  public byte[] snapshot() {
    return RecordCodec.write(tables.image(appliedOffset));
  }

  /**
   * Returns a hash of the whole state, to compare two readers at the same offset.
   *
   * @return the hash
   */
  public long digest() {
    try {
      byte[] hash = MessageDigest.getInstance("SHA-256").digest(snapshot());
      return ByteBuffer.wrap(hash).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }

  /**
   * Checks every budget over all its holders, at a cost that grows with the state.
   *
   * @throws SnipeloomException with {@link ErrorCode#INVARIANT_VIOLATED} if a token is lost
   */
  public void audit() {
    tables.budgets().audit();
  }
}

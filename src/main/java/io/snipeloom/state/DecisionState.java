package io.snipeloom.state;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The state derived from the records of the decision stream.
 *
 * <p>Deterministic: readers that have applied the same records hold equal states and have seen
 * equal events. Mutable and not thread-safe. Start from {@link #empty()} at the first offset of the
 * stream or from a snapshot with {@link #restore(byte[])}, then call {@link #apply} for each later
 * log record in order, or {@link #skip} if the record cannot be decoded. The cost of applying a
 * record does not grow with the number of budgets, request keys or batches.
 */
public final class DecisionState {
  private static final long BEFORE_FIRST_OFFSET = -1;

  private final DecisionTables tables;
  private long appliedOffset;

  private DecisionState(DecisionTables tables, long appliedOffset) {
    this.tables = tables;
    this.appliedOffset = appliedOffset;
  }

  /** Returns the state before the first record of a stream. */
  public static DecisionState empty() {
    return empty(DecisionLimits.DEFAULT);
  }

  static DecisionState empty(DecisionLimits limits) {
    return new DecisionState(new DecisionTables(limits), BEFORE_FIRST_OFFSET);
  }

  /**
   * Restores a state from a snapshot.
   *
   * @param snapshot the bytes returned by {@link #snapshot()}
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the bytes are not a valid
   *     snapshot
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
   * Applies a batch read from the log.
   *
   * @param offset the log offset of the batch, greater than the offset of every earlier batch
   * @return the events that the batch caused
   * @throws SnipeloomException with {@link ErrorCode#INVARIANT_VIOLATED} if the offset does not
   *     increase or an invariant is broken; the caller must then discard this state
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
   * Skips a log record that cannot be decoded. Every reader skips the same records.
   *
   * @param offset the log offset of the record, greater than the offset of every earlier record
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
              "offset " + offset + " is not after the applied offset " + appliedOffset)
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
   * Returns the offset of the last record that was applied or skipped.
   *
   * @return the offset; -1 before the first record
   */
  public long appliedOffset() {
    return appliedOffset;
  }

  /**
   * Returns whether this state can be continued from a log that starts at the given offset.
   *
   * @param firstRetained the smallest offset that the log still retains
   * @return false if the log has already dropped a record that this state has not applied
   */
  public boolean canContinueFrom(long firstRetained) {
    return firstRetained <= appliedOffset + 1;
  }

  /** Returns the current configuration, which is immutable. */
  public ConfigurationDocument configuration() {
    return tables.configuration();
  }

  /**
   * Returns the account of a budget.
   *
   * @return the account; empty if the budget has never been topped up
   */
  public Optional<BudgetAccount> budget(BudgetId id) {
    return tables.budgets().contains(id)
        ? Optional.of(tables.budgets().get(id).account())
        : Optional.empty();
  }

  /**
   * Returns the record of a non-idempotent call.
   *
   * @return the call; empty if no intent was accepted for the key or the call has been evicted
   */
  public Optional<CallRecord> call(RequestKey key) {
    return Optional.ofNullable(tables.calls().get(key));
  }

  /**
   * Returns whether a request is known to have been billed.
   *
   * @return true if the request was billed and its key has not been evicted since
   */
  public boolean isBilled(RequestKey key) {
    return tables.settlements().isBilled(key);
  }

  /**
   * Returns whether a holder may claim and spend tokens.
   *
   * @return true from the first claim of the holder until it is closed
   */
  public boolean isOpen(Incarnation holder) {
    return tables.holders().isOpen(holder);
  }

  /**
   * Returns whether a holder is known to be closed. Closed holders are evicted some time after
   * their release, so a sidecar must check {@link #isOpen} before it accepts work from a holder
   * that it does not know.
   *
   * @return true if the holder is closed and has not been evicted since
   */
  public boolean isClosed(Incarnation holder) {
    return tables.holders().isClosed(holder);
  }

  /**
   * Returns the holders that may claim and spend tokens.
   *
   * @return the router incarnations, sorted
   */
  public List<Incarnation> openHolders() {
    return tables.holders().openIds();
  }

  /**
   * Returns the closed holders whose unspent tokens have been neither released nor written off, in
   * the order in which they were closed.
   */
  public List<Incarnation> strandedHolders() {
    return tables.holders().closedIds();
  }

  /**
   * Returns the sidecars for which a drain report on a holder is outstanding.
   *
   * @return for a closed holder, the sidecars whose reports are required before its unspent tokens
   *     are released; for an open holder, the lost sidecars on which the holder itself must report;
   *     sorted
   */
  public List<Incarnation> awaitedSidecars(Incarnation holder) {
    return tables
        .holders()
        .find(holder)
        .map(found -> found.awaited().stream().mapToObj(tables.sidecars()::at).toList())
        .orElse(List.of())
        .stream()
        .map(Sidecar::incarnation)
        .sorted()
        .toList();
  }

  /**
   * Returns the live sidecars.
   *
   * @return the sidecar incarnations, sorted
   */
  public List<Incarnation> liveSidecars() {
    return tables.sidecars().live().stream().map(Sidecar::incarnation).sorted().toList();
  }

  /**
   * Returns the live sidecar incarnation of an instance.
   *
   * @return the incarnation; empty if the instance has no live sidecar
   */
  public Optional<Incarnation> liveSidecar(InstanceId instance) {
    return tables.sidecars().liveSidecarOf(instance).map(Sidecar::incarnation);
  }

  /**
   * Returns whether a sidecar incarnation is live.
   *
   * @return true from the time it joins until it leaves or is replaced
   */
  public boolean isLive(Incarnation sidecar) {
    return tables.sidecars().isLive(sidecar);
  }

  /**
   * Returns whether a request must run alone because it may have crashed an engine.
   *
   * @param fingerprint the digest of the request body
   * @return true if the request was in flight during a crash and has since been neither cleared nor
   *     convicted
   */
  public boolean isSuspect(String fingerprint) {
    return tables.crashes().isSuspect(fingerprint);
  }

  /**
   * Returns whether a request is refused because it is known to crash engines.
   *
   * @param fingerprint the digest of the request body
   */
  public boolean isConvicted(String fingerprint) {
    return tables.crashes().isConvicted(fingerprint);
  }

  /**
   * Returns the orders issued to an engine; of equal orders, only the one issued last.
   *
   * @param target the sidecar instance in front of the engine
   * @return the orders, by ascending fencing number
   */
  public List<IssuedOrder> orders(InstanceId target) {
    return tables.orders().of(target);
  }

  /** Returns the value of a counter since the start of the stream. */
  public long count(DecisionCounter counter) {
    return tables.counters().get(counter);
  }

  /**
   * Returns the last offset covered by the latest complete snapshot in the log.
   *
   * @return the offset; -1 if the log holds no complete snapshot
   */
  public long latestSnapshotOffset() {
    return tables.snapshots().latestAsOf();
  }

  /**
   * Returns the log offset of the first chunk of the latest complete snapshot.
   *
   * @return the offset; -1 if the log holds no complete snapshot
   */
  public long latestSnapshotStart() {
    return tables.snapshots().latestStart();
  }

  /** Serializes the state. Equal states give equal bytes. */
  public byte[] snapshot() {
    return RecordCodec.write(tables.image(appliedOffset));
  }

  /** Returns a hash of the whole state, for comparing two readers at the same offset. */
  public long digest() {
    try {
      byte[] hash = MessageDigest.getInstance("SHA-256").digest(snapshot());
      return ByteBuffer.wrap(hash).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }

  /**
   * Checks that the token totals of every budget agree with the tokens of all its holders. The cost
   * grows with the size of the state.
   *
   * @throws SnipeloomException with {@link ErrorCode#INVARIANT_VIOLATED} if a total does not agree
   *     or an amount is negative
   */
  public void audit() {
    tables.budgets().audit();
  }
}

package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The tokens of one budget. Each token is in the pool, held by a holder, or consumed. Methods that
 * change the totals check the sum before they return.
 *
 * <p>Tokens consumed beyond those that the holder has left are taken from the pool. If the pool
 * holds too few, the rest is recorded as overdrawn and deducted from the next tokens that enter the
 * pool, before they can be claimed.
 */
final class BudgetState {
  /** A claim is granted more than it needs only up to the pool divided by this number. */
  private static final long OPTIONAL_CLAIM_DIVISOR = 4;

  private final BudgetId id;
  private final Map<Incarnation, Long> remaining = new HashMap<>(4);
  private long toppedUp;
  private long pool;
  private long held;
  private long consumed;
  private long billed;
  private long stranded;
  private long writtenOff;
  private long overdrawn;
  private boolean unmetDemand;

  BudgetState(BudgetId id) {
    this.id = id;
  }

  static BudgetState restore(Image image) {
    BudgetState state = new BudgetState(image.id());
    image.remaining().forEach(share -> state.remaining.put(share.holder(), share.tokens()));
    state.toppedUp = image.toppedUp();
    state.pool = image.pool();
    state.held = state.remaining.values().stream().mapToLong(Long::longValue).sum();
    state.consumed = image.consumed();
    state.billed = image.billed();
    state.stranded = image.stranded();
    state.writtenOff = image.writtenOff();
    state.overdrawn = image.overdrawn();
    state.unmetDemand = image.unmetDemand();
    state.check();
    return state;
  }

  BudgetId id() {
    return id;
  }

  long toppedUp() {
    return toppedUp;
  }

  long remaining(Incarnation holder) {
    return remaining.getOrDefault(holder, 0L);
  }

  DecisionEvent.BudgetLevel level() {
    return new DecisionEvent.BudgetLevel(id, pool, held, stranded);
  }

  void topUp(long tokens) {
    toppedUp += tokens;
    addToPool(tokens);
    unmetDemand = false;
    check();
  }

  /**
   * Grants the needed tokens as far as the pool allows, and the asked tokens beyond them only up to
   * a fraction of the pool.
   */
  long claim(Incarnation holder, long asked, long needed) {
    long optional = Math.min(asked, pool / OPTIONAL_CLAIM_DIVISOR);
    long granted = Math.min(pool, Math.max(needed, optional));
    pool -= granted;
    addRemaining(holder, granted);
    unmetDemand = granted < needed;
    check();
    return granted;
  }

  /** Returns tokens to the pool, at most the unspent tokens of the holder. */
  long returnTokens(Incarnation holder, long tokens) {
    long returned = Math.min(tokens, remaining(holder));
    addRemaining(holder, -returned);
    addToPool(returned);
    check();
    return returned;
  }

  /** Consumes tokens of a holder and returns how many exceed the tokens that it had left. */
  long consume(Incarnation holder, long tokens, boolean closed) {
    long fromHolder = Math.min(tokens, remaining(holder));
    addRemaining(holder, -fromHolder);
    if (closed) {
      stranded -= fromHolder;
    }
    consumed += fromHolder;
    long uncovered = tokens - fromHolder;
    overdrawn += uncovered;
    repayOverdraft();
    check();
    return uncovered;
  }

  /**
   * Reverses consumption that was estimated too high. The tokens first reduce the overdraft; the
   * rest goes to the holder, or to the pool if {@code holder} is null.
   */
  void credit(Incarnation holder, long tokens, boolean closed) {
    long cancelled = Math.min(tokens, overdrawn);
    overdrawn -= cancelled;
    long credited = tokens - cancelled;
    consumed -= credited;
    billed = Math.min(billed, consumed);
    if (holder == null) {
      addToPool(credited);
    } else {
      addRemaining(holder, credited);
      stranded += closed ? credited : 0;
    }
    check();
  }

  /** Bills tokens, at most those consumed but not yet billed, and returns how many. */
  long bill(long tokens) {
    long added = Math.min(tokens, consumed - billed);
    billed += added;
    check();
    return added;
  }

  void cancelBilled(long tokens) {
    billed -= tokens;
  }

  void close(Incarnation holder) {
    stranded += remaining(holder);
    check();
  }

  /** Moves the unspent tokens of a closed holder to the pool. */
  long release(Incarnation holder) {
    long released = remaining(holder);
    addRemaining(holder, -released);
    stranded -= released;
    addToPool(released);
    check();
    return released;
  }

  /** Counts the unspent tokens of a closed holder as consumed. */
  long writeOff(Incarnation holder) {
    long unspent = remaining(holder);
    addRemaining(holder, -unspent);
    stranded -= unspent;
    consumed += unspent;
    writtenOff += unspent;
    check();
    return unspent;
  }

  private void addRemaining(Incarnation holder, long tokens) {
    held += tokens;
    long sum = remaining(holder) + tokens;
    if (sum == 0) {
      remaining.remove(holder);
    } else {
      remaining.put(holder, sum);
    }
  }

  private void addToPool(long tokens) {
    pool += tokens;
    repayOverdraft();
  }

  private void repayOverdraft() {
    long repaid = Math.min(overdrawn, pool);
    overdrawn -= repaid;
    pool -= repaid;
    consumed += repaid;
  }

  private void check() {
    boolean conserved = toppedUp == pool + held + consumed;
    boolean inRange = pool >= 0 && held >= 0 && stranded >= 0 && stranded <= held && consumed >= 0;
    boolean billedWithinConsumed = billed >= 0 && billed <= consumed;
    if (!conserved || !inRange || !billedWithinConsumed) {
      throw SnipeloomException.of(ErrorCode.INVARIANT_VIOLATED, "budget " + account())
          .withOrigin("apply", id.value());
    }
  }

  /**
   * Checks that the tokens of all holders add up to the held total. The cost grows with the number
   * of holders.
   */
  void audit() {
    long sum = remaining.values().stream().mapToLong(Long::longValue).sum();
    if (sum != held || remaining.values().stream().anyMatch(tokens -> tokens < 0)) {
      throw SnipeloomException.of(ErrorCode.INVARIANT_VIOLATED, "budget " + account())
          .withOrigin("audit", id.value());
    }
    check();
  }

  BudgetAccount account() {
    return new BudgetAccount(
        toppedUp, pool, remaining, consumed, billed, stranded, writtenOff, overdrawn, unmetDemand);
  }

  Image image() {
    List<Share> shares =
        remaining.entrySet().stream()
            .sorted(Map.Entry.comparingByKey())
            .map(entry -> new Share(entry.getKey(), entry.getValue()))
            .toList();
    return new Image(
        id, toppedUp, pool, consumed, billed, stranded, writtenOff, overdrawn, unmetDemand, shares);
  }

  /** The unspent tokens of one holder. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Share(Incarnation holder, long tokens) {}

  /** The budget as stored in a snapshot. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Image(
      BudgetId id,
      long toppedUp,
      long pool,
      long consumed,
      long billed,
      long stranded,
      long writtenOff,
      long overdrawn,
      boolean unmetDemand,
      List<Share> remaining) {}
}

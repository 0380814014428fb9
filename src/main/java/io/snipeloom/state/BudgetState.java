package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The tokens of one budget. Each token is in the pool, held by a holder, or consumed; every method
 * checks the sum before it returns.
 *
 * <p>Tokens that an upstream consumed beyond every claim are taken from the pool, and what the pool
 * lacks is owed: it is taken from the next tokens that enter the pool, before anyone can claim
 * them.
 */
final class BudgetState {
  private static final long WISH_DIVISOR = 4;

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

  /** Grants the need as far as the pool goes, and the wish beyond it from a share of the pool. */
  long claim(Incarnation holder, long asked, long needed) {
    long wished = Math.min(asked, pool / WISH_DIVISOR);
    long granted = Math.min(pool, Math.max(needed, wished));
    pool -= granted;
    addRemaining(holder, granted);
    unmetDemand = granted < needed;
    check();
    return granted;
  }

  /** Takes tokens back into the pool, at most what the holder has left. */
  long giveBack(Incarnation holder, long tokens) {
    long returned = Math.min(tokens, remaining(holder));
    addRemaining(holder, -returned);
    addToPool(returned);
    check();
    return returned;
  }

  /** Consumes tokens of a holder and returns those that no claim covered. */
  long consume(Incarnation holder, long tokens, boolean closed) {
    long fromHolder = Math.min(tokens, remaining(holder));
    addRemaining(holder, -fromHolder);
    if (closed) {
      stranded -= fromHolder;
    }
    consumed += fromHolder;
    long beyond = tokens - fromHolder;
    overdrawn += beyond;
    repayOverdraft();
    check();
    return beyond;
  }

  /** Takes back consumption that was estimated too high; the pool gets it if holder is null. */
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

  /** Puts tokens on the bill, at most those consumed and not billed yet. */
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

  /** Moves the remainder of a closed holder to the pool. */
  long release(Incarnation holder) {
    long released = remaining(holder);
    addRemaining(holder, -released);
    stranded -= released;
    addToPool(released);
    check();
    return released;
  }

  /** Counts the remainder of a closed holder as consumed. */
  long writeOff(Incarnation holder) {
    long lost = remaining(holder);
    addRemaining(holder, -lost);
    stranded -= lost;
    consumed += lost;
    writtenOff += lost;
    check();
    return lost;
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
    boolean bounded = pool >= 0 && held >= 0 && stranded >= 0 && stranded <= held && consumed >= 0;
    boolean billedOnce = billed >= 0 && billed <= consumed;
    if (!conserved || !bounded || !billedOnce) {
      throw SnipeloomException.of(ErrorCode.INVARIANT_VIOLATED, "budget " + account())
          .withOrigin("apply", id.value());
    }
  }

  /** Checks the sum over all holders, which grows with their number. */
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

  /** The tokens of one holder. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Share(Incarnation holder, long tokens) {}

  /** The budget in a snapshot. */
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

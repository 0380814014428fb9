package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * The claimed totals of the customers of one partition of the ledger, as this instance knows them.
 *
 * <p>They are what the ledger says, except after the store has come back from an older copy of
 * itself, which may lack claims. Then a total that was known before holds if it is higher, and the
 * ledger is to be corrected. An instance that finds that others have claimed tokens before it could
 * do so adds its own recent claims to theirs instead, because theirs may rest on a total without
 * them. So does one for which the store came back twice in short time, since what is known from
 * between may rest on such a total too. Not thread-safe.
 */
final class ClaimedTotals {
  /** How long nobody claims after the store came back, so that all instances correct it first. */
  private static final long HOLD_NANOS = 2_000_000_000L;

  /** How long after the store came back a record may rest on a total that lacks claims. */
  private static final long DOUBT_NANOS = 60_000_000_000L;

  private final Map<CustomerId, Long> totals = new HashMap<>();
  private final Map<CustomerId, Long> inLedger = new HashMap<>();
  private final Map<CustomerId, Long> beforeReversion = new HashMap<>();
  private final Set<CustomerId> understated = new LinkedHashSet<>();
  private final Set<CustomerId> changedInEra = new HashSet<>();
  private boolean addsOwnClaims;
  private boolean reverted;
  private long revertedNanos;
  private long era;

  /**
   * Records that the store came back from an older copy; the ledger is to be listed again.
   *
   * @param newEra the era of the store
   */
  void onReverted(long newEra, long nowNanos) {
    addsOwnClaims = isDoubtful(nowNanos) || newEra - era > 1;
    era = newEra;
    totals.forEach((customer, total) -> beforeReversion.merge(customer, total, Math::max));
    understated.clear();
    changedInEra.clear();
    reverted = true;
    revertedNanos = nowNanos;
  }

  /**
   * Records a listing of the ledger.
   *
   * @param records the newest record of each customer
   * @param recentClaims returns the tokens that this instance claimed lately for a customer
   * @param newEra the era of the store
   */
  void onListed(List<LedgerRecord> records, ToLongFunction<CustomerId> recentClaims, long newEra) {
    era = newEra;
    totals.clear();
    inLedger.clear();
    for (LedgerRecord record : records) {
      totals.put(record.customer(), record.claimedTokens());
      inLedger.put(record.customer(), record.claimedTokens());
      if (record.showsChangeIn(era)) {
        changedInEra.add(record.customer());
      }
    }
    for (Map.Entry<CustomerId, Long> before : beforeReversion.entrySet()) {
      restore(before.getKey(), before.getValue(), recentClaims.applyAsLong(before.getKey()));
    }
    beforeReversion.clear();
  }

  /** Restores the total of a customer that was known before the store came back. */
  private void restore(CustomerId customer, long before, long ownClaims) {
    raise(customer, before);
    if (changedInEra.contains(customer) || addsOwnClaims) {
      raise(customer, inLedger.getOrDefault(customer, 0L) + ownClaims);
      changedInEra.add(customer);
    }
  }

  /** Records a record that was read or written in the order of the offsets. */
  void onRecord(LedgerRecord record, long nowNanos) {
    CustomerId customer = record.customer();
    final Long before = totals.put(customer, record.claimedTokens());
    final long added = addedBy(record);
    inLedger.put(customer, record.claimedTokens());
    understated.remove(customer);
    if (record.showsChangeIn(era)) {
      changedInEra.add(customer);
    }
    if (before != null && isDoubtful(nowNanos)) {
      raise(customer, before + added);
    }
  }

  /**
   * Returns the tokens that a record adds to what its writer did not know. A correction before any
   * claim restores a total that all knew, and adds nothing. A writer that does not know the era yet
   * writes a total that does not follow from the one before, so only its own change counts.
   */
  private long addedBy(LedgerRecord record) {
    if (record.era() != era) {
      return record.change();
    }
    return record.changedInEra()
        ? record.claimedTokens() - inLedger.getOrDefault(record.customer(), 0L)
        : 0;
  }

  private void raise(CustomerId customer, long total) {
    if (total > of(customer)) {
      totals.put(customer, total);
      understated.add(customer);
    }
  }

  private boolean isDoubtful(long nowNanos) {
    return reverted && nowNanos - revertedNanos < DOUBT_NANOS;
  }

  /** Returns whether tokens must not be claimed yet, because others may correct the ledger. */
  boolean isHeld(long nowNanos) {
    return reverted && nowNanos - revertedNanos < HOLD_NANOS;
  }

  /** Returns whether the store ever came back, so that a total may lack claims for good. */
  boolean isReverted() {
    return reverted;
  }

  /** Returns whether the total of a customer has been read. */
  boolean isKnown(CustomerId customer) {
    return totals.containsKey(customer);
  }

  /** Returns the claimed total of a customer, 0 if it is not known. */
  long of(CustomerId customer) {
    return totals.getOrDefault(customer, 0L);
  }

  /**
   * Returns the total of a customer after a change. Once the store came back from an older copy,
   * more may be returned than is known to be claimed.
   */
  long after(CustomerId customer, long change) {
    long total = of(customer) + change;
    return reverted ? Math.max(0, total) : total;
  }

  /** Returns whether tokens of a customer were claimed or returned in the current era. */
  boolean isChangedInEra(CustomerId customer) {
    return changedInEra.contains(customer);
  }

  /** Returns the customers whose totals in the ledger are too low. */
  Set<CustomerId> understated() {
    return understated;
  }
}

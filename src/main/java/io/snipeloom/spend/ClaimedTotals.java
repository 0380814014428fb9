package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The claimed totals of the customers of one partition of the ledger, as this instance knows them.
 *
 * <p>They are what the ledger says, merged with the parts that were known before and those that
 * other instances tell. The ledger lacks some of these if the store has come back from an older
 * copy of itself; then the total is to be corrected in the ledger. It does not matter when, how
 * often and by whom that is done. Not thread-safe.
 */
final class ClaimedTotals {
  private final Map<CustomerId, ClaimedTotal> totals = new HashMap<>();

  /** What was told or known before, to be merged if the store comes back from an older copy. */
  private final Map<CustomerId, ClaimedTotal> remembered = new HashMap<>();

  private final Set<CustomerId> understated = new LinkedHashSet<>();
  private boolean reverted;

  /** Records that the store came back from an older copy; the ledger is to be listed again. */
  void onReverted(long nowMillis) {
    totals.forEach((customer, total) -> remember(customer, total.parts().values(), nowMillis));
    understated.clear();
    reverted = true;
  }

  /**
   * Records a listing of the ledger.
   *
   * @param records the newest record of each customer
   */
  void onListed(List<LedgerRecord> records, long nowMillis) {
    totals.clear();
    understated.clear();
    records.forEach(
        record -> totals.put(record.customer(), totalOf(record, ClaimedTotal.NONE, nowMillis)));
    remembered.forEach((customer, told) -> merge(customer, told, nowMillis));
  }

  /** Records a record that was read or written in the order of the offsets. */
  void onRecord(LedgerRecord record, long nowMillis) {
    CustomerId customer = record.customer();
    ClaimedTotal before = totals.getOrDefault(customer, ClaimedTotal.NONE);
    totals.put(customer, totalOf(record, before, nowMillis));
    understated.remove(customer);
    merge(customer, before, nowMillis);
    merge(customer, remembered.getOrDefault(customer, ClaimedTotal.NONE), nowMillis);
  }

  /** Returns what a record says; one of an earlier version of this program names no parts. */
  private static ClaimedTotal totalOf(LedgerRecord record, ClaimedTotal before, long nowMillis) {
    long tokens = record.claimedTokens();
    return record
        .parts()
        .map(parts -> ClaimedTotal.of(tokens, parts, record.completeSinceMillis()))
        .orElseGet(() -> before.rewritten(tokens, nowMillis));
  }

  /**
   * Records a part that another instance tells in an answer, since the store may lack it.
   *
   * @return whether the total in the ledger is to be corrected because of it
   */
  boolean onAnswer(CustomerPart told, long nowMillis) {
    CustomerId customer = told.customer();
    remember(customer, List.of(told.part()), nowMillis);
    return merge(customer, remembered.get(customer), nowMillis);
  }

  /**
   * Records a part that another instance tells because it has just changed. Unless the store ever
   * came back from a copy, the ledger has it, and the next read shows it.
   *
   * @return whether the total in the ledger is to be corrected because of it
   */
  boolean onNotice(CustomerPart told, long nowMillis) {
    if (reverted) {
      return onAnswer(told, nowMillis);
    }
    remember(told.customer(), List.of(told.part()), nowMillis);
    return false;
  }

  private void remember(CustomerId customer, Collection<ClaimPart> parts, long nowMillis) {
    ClaimedTotal known = remembered.getOrDefault(customer, ClaimedTotal.NONE);
    ClaimedTotal all = known.merge(parts, nowMillis);
    remembered.put(customer, ClaimedTotal.of(0, all.recentParts(nowMillis), Long.MIN_VALUE));
  }

  private boolean merge(CustomerId customer, ClaimedTotal other, long nowMillis) {
    ClaimedTotal known = totals.getOrDefault(customer, ClaimedTotal.NONE);
    ClaimedTotal merged = known.merge(other.parts().values(), nowMillis);
    if (merged.equals(known)) {
      return false;
    }
    totals.put(customer, merged);
    return understated.add(customer);
  }

  /** Returns the parts that other instances are told: those that changed lately. */
  List<CustomerPart> recentParts(long nowMillis) {
    Map<CustomerId, ClaimedTotal> all = new HashMap<>(remembered);
    totals.forEach(
        (customer, total) ->
            all.merge(
                customer, total, (told, known) -> known.merge(told.parts().values(), nowMillis)));
    List<CustomerPart> recent = new ArrayList<>();
    all.forEach(
        (customer, total) ->
            total
                .recentParts(nowMillis)
                .forEach(part -> recent.add(new CustomerPart(customer, part))));
    return recent;
  }

  /** Returns whether the store ever came back, so that a total may lack claims for good. */
  boolean isReverted() {
    return reverted;
  }

  /** Returns whether the total of a customer has been read. */
  boolean isKnown(CustomerId customer) {
    return totals.containsKey(customer);
  }

  /** Returns the claimed tokens of a customer, 0 if they are not known. */
  long of(CustomerId customer) {
    return Math.max(0, total(customer).tokens());
  }

  /** Returns the claimed total of a customer with its parts. */
  ClaimedTotal total(CustomerId customer) {
    return totals.getOrDefault(customer, ClaimedTotal.NONE);
  }

  /** Returns the customers whose totals in the ledger are to be corrected. */
  Set<CustomerId> understated() {
    return understated;
  }
}

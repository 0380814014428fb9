package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Makes the records by which this incarnation changes the claimed totals of one partition of the
 * ledger. Not thread-safe.
 */
final class ClaimRecords {
  private final String writer;
  private final ClaimedTotals totals;
  private final Map<CustomerId, Long> partIds = new HashMap<>();
  private long sequence;

  /**
   * Creates the records of an incarnation that has changed nothing yet.
   *
   * @param writer the name of the incarnation
   * @param totals the claimed totals, to which the changes are added
   */
  ClaimRecords(String writer, ClaimedTotals totals) {
    this.writer = writer;
    this.totals = totals;
  }

  /**
   * Returns the next record.
   *
   * @param change the change of the claimed total, negative for a return; 0 to write what is known
   * @param era the era of the store
   * @param nowMillis the time of day, in Unix milliseconds
   */
  LedgerRecord record(CustomerId customer, long change, long era, long nowMillis) {
    sequence++;
    ClaimedTotal total = totals.total(customer);
    ClaimedTotal changed =
        change == 0 ? total : total.with(ownPart(customer).changed(sequence, change, nowMillis));
    long tokens = changed.tokens();
    return new LedgerRecord(
        customer,
        totals.isReverted() ? Math.max(0, tokens) : tokens,
        writer,
        sequence,
        change,
        era,
        Optional.of(changed.keptParts(nowMillis)),
        changed.completeSinceMillis());
  }

  /** Returns what this incarnation has claimed, a new part if the ledger does not hold it. */
  private ClaimPart ownPart(CustomerId customer) {
    Optional<ClaimPart> known =
        Optional.ofNullable(partIds.get(customer)).flatMap(totals.total(customer)::part);
    if (known.isPresent()) {
      return known.get();
    }
    long id = ThreadLocalRandom.current().nextLong();
    partIds.put(customer, id);
    return new ClaimPart(id, 0, 0, 0);
  }

  /** Returns what this incarnation has claimed for some customers, as far as the totals show it. */
  List<CustomerPart> parts(Set<CustomerId> customers) {
    List<CustomerPart> parts = new ArrayList<>();
    for (CustomerId customer : customers) {
      Optional.ofNullable(partIds.get(customer))
          .flatMap(totals.total(customer)::part)
          .ifPresent(part -> parts.add(new CustomerPart(customer, part)));
    }
    return parts;
  }
}

package io.snipeloom.spend;

import java.util.List;

/**
 * Records of one partition of the ledger.
 *
 * @param records the records, in the order of their offsets unless the page is a listing
 * @param end the offset after the last record of the partition
 */
public record LedgerPage(List<LedgerRecord> records, long end) {

  /** Makes an immutable copy of the records. */
  public LedgerPage {
    records = List.copyOf(records);
  }
}

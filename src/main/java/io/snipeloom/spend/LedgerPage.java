package io.snipeloom.spend;

import java.util.List;

/**
 * Records of one partition of the ledger.
 *
 * @param records the records in their order
 * @param end the offset after the last record that exists
 */
public record LedgerPage(List<LedgerRecord> records, long end) {

  /** Copies the records. */
  public LedgerPage {
    records = List.copyOf(records);
  }
}

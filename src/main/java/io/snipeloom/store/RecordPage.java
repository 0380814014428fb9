package io.snipeloom.store;

import java.util.List;

/**
 * Records of one partition.
 *
 * @param records the records in their order
 * @param end the offset after the last record of the partition
 * @param lastKey the key to continue a listing after, empty if the listing is complete
 */
public record RecordPage(List<KeyedRecord> records, long end, String lastKey) {

  /** Copies the records. */
  public RecordPage {
    records = List.copyOf(records);
  }

  /**
   * Returns whether a listing goes on after this page.
   *
   * @return true if there are more keys
   */
  public boolean hasMore() {
    return !lastKey.isEmpty();
  }
}

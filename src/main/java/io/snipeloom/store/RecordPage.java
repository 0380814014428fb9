package io.snipeloom.store;

import java.util.List;

/**
 * A page of records of one partition.
 *
 * @param records the records, in the order of their offsets unless the page is part of a listing
 * @param end the offset after the last record of the partition; of a read of records that are no
 *     longer retained, the first retained offset
 * @param lastKey the key after which a listing continues; empty if it is complete
 */
public record RecordPage(List<KeyedRecord> records, long end, String lastKey) {

  /** Makes an immutable copy of the records. */
  public RecordPage {
    records = List.copyOf(records);
  }

  /**
   * Returns whether a listing continues after this page.
   *
   * @return true if there are more keys
   */
  public boolean hasMore() {
    return !lastKey.isEmpty();
  }
}

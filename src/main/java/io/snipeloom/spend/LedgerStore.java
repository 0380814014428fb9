package io.snipeloom.spend;

import java.util.List;

/**
 * Access to the partitions of the ledger. Each operation calls exactly one method of its listener,
 * exactly once, on the event loop that started the operation.
 */
public interface LedgerStore {

  /**
   * Returns the era of the store, which rises when the store comes back from an older copy of
   * itself. Offsets and totals that were read in an earlier era hold no longer.
   */
  long era();

  /**
   * Records that another instance knows an era of the store. Calls that were sent in an earlier one
   * have no outcome from now on.
   *
   * @param era the era; one that is not later than the known one changes nothing
   */
  void onEra(long era);

  /**
   * Reads the newest record of each customer in a partition.
   *
   * @param partition the number of the partition
   * @param listener receives the outcome
   */
  void list(int partition, PageListener listener);

  /**
   * Reads records in order, starting at an offset.
   *
   * @param partition the number of the partition
   * @param from the offset of the first record to read
   * @param listener receives the outcome
   */
  void read(int partition, long from, PageListener listener);

  /**
   * Appends records, provided that the partition ends at the given offset.
   *
   * @param partition the number of the partition
   * @param at the expected end offset of the partition
   * @param listener receives the outcome
   */
  void append(int partition, long at, List<LedgerRecord> records, AppendListener listener);

  /** Receives the outcome of a read. */
  interface PageListener {

    /**
     * The read succeeded.
     *
     * @param page the records and the end of the partition
     */
    void onPage(LedgerPage page);

    /** The records at the requested offset are no longer retained. */
    void onExpired();

    /** The read failed, for example because the store did not respond. */
    void onFailed();
  }

  /** Receives the outcome of an append. */
  interface AppendListener {

    /** The records were appended at the requested offset. */
    void onAppended();

    /**
     * The partition does not end at the expected offset, so this call appended nothing. The other
     * records may come from an earlier attempt at the same append.
     */
    void onConflict();

    /** The outcome is unknown: the records may have been appended or may still be appended. */
    void onUnknown();
  }
}

package io.snipeloom.spend;

import java.util.List;

/**
 * Access to the partitions of the ledger. Each call ends with exactly one call of its listener, on
 * the event loop that made it.
 */
public interface LedgerStore {

  /**
   * Reads the newest record of each customer of a partition.
   *
   * @param partition the partition
   * @param listener takes the outcome
   */
  void list(int partition, PageListener listener);

  /**
   * Reads the records from an offset on.
   *
   * @param partition the partition
   * @param from the offset
   * @param listener takes the outcome
   */
  void read(int partition, long from, PageListener listener);

  /**
   * Appends records if the partition ends at an offset.
   *
   * @param partition the partition
   * @param at the offset
   * @param records the records
   * @param listener takes the outcome
   */
  void append(int partition, long at, List<LedgerRecord> records, AppendListener listener);

  /** Takes the outcome of a read. */
  interface PageListener {

    /**
     * The records were read.
     *
     * @param page the records
     */
    void onPage(LedgerPage page);

    /** The records at the offset are no longer kept. */
    void onExpired();

    /** The store did not answer. */
    void onFailed();
  }

  /** Takes the outcome of an append. */
  interface AppendListener {

    /** The records were appended at the offset that was asked for. */
    void onAppended();

    /**
     * Something else was appended before; nothing was done now, but an earlier try may be there.
     */
    void onConflict();

    /** It is not known whether the records were or will be appended. */
    void onUnknown();
  }
}

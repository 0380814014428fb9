package io.snipeloom.spend;

import java.util.Optional;

/**
 * Access to the usage reports of one instance. Each operation calls exactly one method of its
 * listener, exactly once, on the event loop that started the operation.
 */
public interface UsageStore {

  /**
   * Returns the era of the store, which rises when the store comes back from an older copy of
   * itself. A report that was written in an earlier era may not be the last one.
   */
  long era();

  /**
   * Reads the newest report of the instance.
   *
   * @param listener receives the outcome
   */
  void newest(NewestListener listener);

  /**
   * Appends a report, provided that the partition of the reports ends at the given offset.
   *
   * @param at the expected end offset
   * @param listener receives the outcome
   */
  void append(long at, UsageReport report, LedgerStore.AppendListener listener);

  /** Receives the newest report. */
  interface NewestListener {

    /**
     * The read succeeded.
     *
     * @param report the newest report; empty if there is none
     * @param end the offset at which the next report is to be appended
     */
    void onReport(Optional<UsageReport> report, long end);

    /** The read failed, for example because the store did not respond. */
    void onFailed();
  }
}

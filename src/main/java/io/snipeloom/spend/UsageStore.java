package io.snipeloom.spend;

import java.util.Optional;

/**
 * Access to the usage reports of one instance. Each call ends with exactly one call of its
 * listener, on the event loop that made it.
 */
public interface UsageStore {

  /**
   * Reads the newest report of the instance.
   *
   * @param listener takes the outcome
   */
  void newest(NewestListener listener);

  /**
   * Appends a report if nothing was appended since an offset.
   *
   * @param at the offset
   * @param report the report
   * @param listener takes the outcome
   */
  void append(long at, UsageReport report, LedgerStore.AppendListener listener);

  /** Takes the newest report. */
  interface NewestListener {

    /**
     * The report was read.
     *
     * @param report the newest report, if there is one
     * @param end the offset at which the next report is appended
     */
    void onReport(Optional<UsageReport> report, long end);

    /** The store did not answer. */
    void onFailed();
  }
}

package io.snipeloom.coordination;

import java.util.List;

/** Reads the ledger. Implementations are thread-safe and do not block. */
public interface LedgerReader {

  /**
   * Returns bill lines, ordered by line number.
   *
   * @param from the number of the first line to return
   * @param limit the maximum number of lines
   * @return the lines; empty if there are none from that number on
   */
  List<BillLine> lines(long from, int limit);
}

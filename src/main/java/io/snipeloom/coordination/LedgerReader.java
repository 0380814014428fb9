package io.snipeloom.coordination;

import java.util.List;

/** Reads the ledger. Implementations are thread-safe and do not block. */
public interface LedgerReader {

  /**
   * Returns bill lines in the order of their numbers.
   *
   * @param from the first line wanted
   * @param limit the most lines
   * @return the lines; empty at the end
   */
  List<BillLine> lines(long from, int limit);
}

package io.snipeloom.daemon;

import io.snipeloom.coordination.BillLine;
import java.util.List;

/**
 * A page of bill lines.
 *
 * @param lines the lines; empty after the end of the ledger
 * @param next the line number to pass as {@code from} to get the next page
 */
record LedgerPage(List<BillLine> lines, long next) {}

package io.snipeloom.daemon;

import io.snipeloom.coordination.BillLine;
import java.util.List;

/**
 * A run of bill lines.
 *
 * @param lines the lines
 * @param next the line to pass as {@code from} for the next run
 */
record LedgerPage(List<BillLine> lines, long next) {}

package io.snipeloom.coordination;

import io.snipeloom.state.BudgetId;
import io.snipeloom.state.RequestClassId;
import io.snipeloom.state.RequestKey;

/**
 * A line of the ledger: one request, billed once.
 *
 * @param line the number of the line, from 0 without gaps
 * @param offset the log offset of the record that billed the request
 * @param key the request
 * @param budget the budget that pays
 * @param requestClass the request class
 * @param tokens the tokens billed
 * @param issuedAtMillis the issue time of the request, in milliseconds since the epoch
 */
public record BillLine(
    long line,
    long offset,
    RequestKey key,
    BudgetId budget,
    RequestClassId requestClass,
    long tokens,
    long issuedAtMillis) {}

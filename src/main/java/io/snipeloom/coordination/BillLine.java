package io.snipeloom.coordination;

import io.snipeloom.state.BudgetId;
import io.snipeloom.state.RequestClassId;
import io.snipeloom.state.RequestKey;

/**
 * A line of the ledger, which bills one request. Each request is billed once.
 *
 * @param line the line number, consecutive from 0
 * @param offset the log offset of the record that billed the request
 * @param key the key of the billed request
 * @param budget the budget that pays
 * @param requestClass the class of the request
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

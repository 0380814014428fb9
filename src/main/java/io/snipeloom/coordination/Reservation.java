package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.BudgetId;

/**
 * Tokens reserved for one attempt.
 *
 * @param budget the budget that pays
 * @param attempt the attempt
 * @param tokens the most tokens that the attempt may consume
 */
public record Reservation(BudgetId budget, AttemptId attempt, long tokens) {}

package io.snipeloom.spend;

/** The answer to a reservation. */
public enum ReserveOutcome {
  /** The tokens are reserved. */
  RESERVED,
  /** What is left of the prepaid tokens does not cover the request. */
  EXHAUSTED,
  /** Whether the tokens are left cannot be told now. */
  UNAVAILABLE
}

package io.snipeloom.spend;

/** The outcome of a request to reserve tokens. */
public enum ReserveOutcome {
  /** The tokens are reserved. */
  RESERVED,
  /** The remaining prepaid tokens do not cover the request. */
  EXHAUSTED,
  /** It could not be determined in time whether enough tokens remain, or more may soon be found. */
  UNAVAILABLE
}

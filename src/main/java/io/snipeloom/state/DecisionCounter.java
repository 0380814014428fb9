package io.snipeloom.state;

/** Rare outcomes that the decision state counts, equal at every reader. */
public enum DecisionCounter {
  /** Batches dropped as a second copy. */
  BATCHES_DUPLICATE,
  /** Batches dropped since they were built too long ago. */
  BATCHES_STALE,
  /** Log records that could not be decoded. */
  RECORDS_MALFORMED,
  /** Settlements that counted as consumption but were too old to be billed. */
  SETTLEMENTS_LATE,
  /** Settlements of an attempt that was settled before. */
  SETTLEMENTS_DUPLICATE,
  /** Settlements of an unknown holder, or of one whose remainder was released. */
  SETTLEMENTS_UNCOUNTED,
  /** Settlements whose attempt number was too old to tell a second copy. */
  SETTLEMENTS_UNCHECKED,
  /** Settlements that should have been billed but whose key was billed before. */
  BILLS_DUPLICATE,
  /** Tokens that an upstream consumed beyond every claim. */
  TOKENS_OVERDRAWN,
  /** Tokens that a holder returned without having them. */
  TOKENS_RETURNED_UNHELD,
  /** Claims of closed holders. */
  CLAIMS_REFUSED,
  /** Requests put on the bill. */
  REQUESTS_BILLED
}

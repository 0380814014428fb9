package io.snipeloom.state;

/** Rare outcomes that the decision state counts; every reader has the same counts. */
public enum DecisionCounter {
  /** Batches dropped as duplicates. */
  BATCHES_DUPLICATE,
  /** Batches dropped because the offset that they are based on is too old. */
  BATCHES_STALE,
  /** Log records that could not be decoded, and batches dropped as invalid. */
  RECORDS_MALFORMED,
  /** Settlements counted as consumption but not billed because their request key was too old. */
  SETTLEMENTS_LATE,
  /** Settlements of an attempt that had already been settled. */
  SETTLEMENTS_DUPLICATE,
  /** Settlements whose holder is unknown or whose holder's unspent tokens were released. */
  SETTLEMENTS_UNCOUNTED,
  /** Settlements whose attempt number was too old for duplicates to be detected. */
  SETTLEMENTS_UNCHECKED,
  /** Settlements to be billed whose request key had already been billed. */
  BILLS_DUPLICATE,
  /** Tokens consumed beyond the tokens that the holder had left. */
  TOKENS_OVERDRAWN,
  /** Tokens that a holder returned without holding them. */
  TOKENS_RETURNED_UNHELD,
  /** Claims refused because their holder is closed. */
  CLAIMS_REFUSED,
  /** Requests that were billed. */
  REQUESTS_BILLED
}

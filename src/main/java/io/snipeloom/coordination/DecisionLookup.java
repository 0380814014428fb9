package io.snipeloom.coordination;

import io.snipeloom.state.Incarnation;

/**
 * Answers the queries of a sidecar about the decision state.
 *
 * <p>Implementations are thread-safe; their answers reflect the records applied so far.
 */
public interface DecisionLookup {

  /** Returns whether a holder is closed, so that new attempts from it are refused. */
  boolean isClosed(Incarnation holder);

  /**
   * Returns whether a request is refused because it was found to crash engines.
   *
   * @param fingerprint the digest of the request
   */
  boolean isConvicted(String fingerprint);

  /**
   * Returns whether a request was in flight when an engine crashed and must therefore run alone.
   *
   * @param fingerprint the digest of the request
   */
  boolean isSuspect(String fingerprint);
}

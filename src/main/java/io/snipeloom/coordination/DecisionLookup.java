package io.snipeloom.coordination;

import io.snipeloom.state.Incarnation;

/**
 * What a sidecar asks of the decision state.
 *
 * <p>Implementations are thread-safe and answer for the records applied so far.
 */
public interface DecisionLookup {

  /**
   * Returns whether a holder is closed, so that its new work is refused.
   *
   * @param holder the holder
   * @return true if closed
   */
  boolean isClosed(Incarnation holder);

  /**
   * Returns whether a request crashes its engines and is refused.
   *
   * @param fingerprint the digest of the request
   * @return true if convicted
   */
  boolean isConvicted(String fingerprint);

  /**
   * Returns whether a request was in flight at a crash and must run alone.
   *
   * @param fingerprint the digest of the request
   * @return true if suspect
   */
  boolean isSuspect(String fingerprint);
}

package io.snipeloom.routing;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes the most bytes of a request's header
 * @param maxBodyBytes the most bytes of a request's body
 * @param headerTimeoutMillis the longest time for the header, in milliseconds
 * @param idleTimeoutMillis the longest time without a request on an open connection, in
 *     milliseconds
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** The limits before a configuration is known. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

  /** Checks that each bound is positive. */
  public RequestLimits {
    if (maxHeaderBytes < 1
        || maxBodyBytes < 0
        || headerTimeoutMillis < 1
        || idleTimeoutMillis < 1) {
      throw new IllegalArgumentException("limits must be positive");
    }
  }
}

package io.snipeloom.routing;

/**
 * Limits on the requests of callers.
 *
 * @param maxHeaderBytes the maximum size of a request header, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the time limit for receiving a header, in milliseconds
 * @param idleTimeoutMillis the time after which a connection without a request is closed, in
 *     milliseconds
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** The limits that apply until a configuration is known. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

  /** Checks the bounds. */
  public RequestLimits {
    if (maxHeaderBytes < 1
        || maxBodyBytes < 0
        || headerTimeoutMillis < 1
        || idleTimeoutMillis < 1) {
      throw new IllegalArgumentException("limits must be positive, only maxBodyBytes may be 0");
    }
  }
}

package io.snipeloom.crashes;

/**
 * A request that a replica ran to a good end. Immutable.
 *
 * @param request the request
 * @param service the service of the replica
 * @param sentMillisAgo how long ago it was sent there, in milliseconds, at least 0
 */
public record CompletedRequest(RequestTrait request, String service, long sentMillisAgo) {

  /** Checks the range. */
  public CompletedRequest {
    if (sentMillisAgo < 0) {
      throw new IllegalArgumentException("time must be at least 0 but was " + sentMillisAgo);
    }
  }
}

package io.snipeloom.crashes;

/**
 * A replica that ended while a request was in flight there. Immutable.
 *
 * @param request the request
 * @param service the service of the replica
 * @param replica the incarnation of the replica
 * @param ageMillis how long ago it ended, in milliseconds, at least 0
 */
public record RequestCrash(RequestTrait request, String service, String replica, long ageMillis) {

  /** Checks the range. */
  public RequestCrash {
    if (ageMillis < 0) {
      throw new IllegalArgumentException("age must be at least 0 but was " + ageMillis);
    }
  }
}

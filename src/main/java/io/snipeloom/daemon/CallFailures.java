package io.snipeloom.daemon;

import io.micronaut.core.beans.exceptions.IntrospectionException;
import io.snipeloom.coordination.BackEndFailure;
import java.net.ConnectException;
import java.net.NoRouteToHostException;

/** Tells whether a failed HTTP call may have been sent. */
final class CallFailures {
  private CallFailures() {}

  /**
   * Returns how a call failed.
   *
   * @param error the error of the HTTP client
   * @return {@link BackEndFailure#NOT_SENT} only if no connection was opened or the call could not
   *     be encoded
   */
  static BackEndFailure of(Throwable error) {
    for (Throwable cause = error; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException
          || cause instanceof NoRouteToHostException
          || cause instanceof IntrospectionException) {
        return BackEndFailure.NOT_SENT;
      }
    }
    return BackEndFailure.BROKEN;
  }
}

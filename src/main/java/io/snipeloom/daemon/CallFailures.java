package io.snipeloom.daemon;

import io.micronaut.core.beans.exceptions.IntrospectionException;
import io.snipeloom.coordination.BackEndFailure;
import java.net.ConnectException;
import java.net.NoRouteToHostException;

/** Classifies errors of the HTTP client by whether the request may have been sent. */
final class CallFailures {
  private CallFailures() {}

  /**
   * Returns how a call failed.
   *
   * @param error the error reported by the HTTP client
   * @return {@link BackEndFailure#NOT_SENT} only if the connection could not be opened or the
   *     request could not be encoded
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

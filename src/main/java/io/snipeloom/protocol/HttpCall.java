package io.snipeloom.protocol;

import java.util.List;

/**
 * An HTTP call that a sidecar makes at its back end.
 *
 * @param method the method in upper case
 * @param path the path with its query
 * @param headers the headers to pass on
 * @param body the body, not to be modified
 */
public record HttpCall(String method, String path, List<Header> headers, byte[] body) {

  /** Copies the headers. */
  public HttpCall {
    headers = List.copyOf(headers);
  }
}

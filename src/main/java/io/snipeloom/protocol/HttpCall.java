package io.snipeloom.protocol;

import java.util.List;

/**
 * An HTTP request that a sidecar sends to its back end.
 *
 * @param method the method in upper case
 * @param path the path and the query string
 * @param headers the headers to send
 * @param body the body; not copied, so it must not be modified
 */
public record HttpCall(String method, String path, List<Header> headers, byte[] body) {

  /** Copies the list of headers. */
  public HttpCall {
    headers = List.copyOf(headers);
  }
}

package io.snipeloom.forwarding;

/**
 * How far the response to an attempt had come when the attempt ended. Immutable.
 *
 * @param framing how the end of the body is marked
 * @param events the number of complete events that the request has received, over all attempts
 * @param partialBytes the number of bytes after the last complete event
 */
record ResponseProgress(ResponseFraming framing, int events, int partialBytes) {
  /** The progress of a request that has received no response. */
  static final ResponseProgress NONE = new ResponseProgress(ResponseFraming.NONE, 0, 0);
}

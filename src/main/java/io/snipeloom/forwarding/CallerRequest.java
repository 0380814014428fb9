package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.snipeloom.buffering.RequestBuffer;

/**
 * A complete request of a caller.
 *
 * @param method the HTTP method
 * @param uri the path and query as received
 * @param headers the headers as received
 * @param body the body, which the exchange releases when it ends
 * @param buffer counts the bytes of the body; the exchange releases it when it ends
 * @param arrivedNanos when the request header was read, as {@link System#nanoTime}
 * @param loopDelayMillis how late the event loop was when it read the header, in milliseconds; on a
 *     connection that was accepted before, the request has waited no longer
 */
record CallerRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    ByteBuf body,
    RequestBuffer buffer,
    long arrivedNanos,
    long loopDelayMillis) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Releases the body. */
  void release() {
    body.release();
    buffer.release();
  }

  /**
   * Returns the time since the request was read, in milliseconds.
   *
   * @param nowNanos the current time
   */
  long ageMillis(long nowNanos) {
    return (nowNanos - arrivedNanos) / NANOS_PER_MILLI;
  }

  /** Returns the path without the query. */
  String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}

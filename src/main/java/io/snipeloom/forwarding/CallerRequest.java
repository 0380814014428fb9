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
 * @param arrivedNanos when the request header was received, as {@link System#nanoTime}
 */
record CallerRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    ByteBuf body,
    RequestBuffer buffer,
    long arrivedNanos) {

  /** Releases the body. */
  void release() {
    body.release();
    buffer.release();
  }

  /** Returns the path without the query. */
  String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}

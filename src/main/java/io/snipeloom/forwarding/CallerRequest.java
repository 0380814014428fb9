package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a caller.
 *
 * @param method the method
 * @param uri the path and query as sent
 * @param headers the headers as sent
 * @param body the body; released when the exchange ends
 * @param arrivedNanos when its head arrived
 */
record CallerRequest(
    HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, long arrivedNanos) {

  /** Returns the path without the query. */
  String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}

package io.snipeloom.forwarding;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.snipeloom.telemetry.FleetMetrics;
import java.nio.charset.StandardCharsets;

/**
 * The response to the caller of one request, sent over its channel. Confined to the event loop
 * thread.
 */
final class CallerResponse {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final CallerChannel caller;
  private final FleetMetrics metrics;
  private final long arrivedNanos;
  private boolean begun;
  private long firstByteMillis = -1;

  /**
   * Creates a response that has not begun.
   *
   * @param caller the channel
   * @param metrics the request metrics
   * @param arrivedNanos when the request arrived
   */
  CallerResponse(CallerChannel caller, FleetMetrics metrics, long arrivedNanos) {
    this.caller = caller;
    this.metrics = metrics;
    this.arrivedNanos = arrivedNanos;
  }

  /** Returns whether the head of a streamed response was sent. */
  boolean isBegun() {
    return begun;
  }

  /**
   * Returns the time from the arrival of the request to the first byte from a replica, in
   * milliseconds; -1 if there was none.
   */
  long firstByteMillis() {
    return firstByteMillis;
  }

  /** Sends the head of a streamed response, unless it has been sent. */
  void sendHeadOnce(Attempt source) {
    if (!begun) {
      begun = true;
      recordFirstByte();
      caller.sendHead(source.status(), source.headersForCaller());
    }
  }

  /** Sends the complete response of a replica unchanged. */
  void relay(Attempt source) {
    recordFirstByte();
    caller.sendResponse(source.status(), source.headersForCaller(), source.body());
  }

  /**
   * Sends a response of this instance.
   *
   * @param response the response
   * @param headers the headers by which the caller recognizes its request
   */
  void sendLocal(LocalResponse response, HttpHeaders headers) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    if (response.retryAfterMillis() > 0) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER,
          String.valueOf(response.retryAfterMillis() / MILLIS_PER_SECOND));
    }
    String body =
        "{\"code\":\"%s\",\"message\":\"%s\"}"
            .formatted(response.code().text(), response.reason().replaceAll("[\"\\\\]", "'"));
    caller.sendLocalResponse(
        response.status(), headers, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
  }

  private void recordFirstByte() {
    firstByteMillis = (System.nanoTime() - arrivedNanos) / NANOS_PER_MILLI;
    metrics.firstByte(firstByteMillis);
  }
}

package io.snipeloom.client;

import io.micronaut.http.HttpRequest;
import io.snipeloom.state.ErrorCode;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * The weight store of the platform over HTTP.
 *
 * <p>Thread-safe; calls block within the time limits.
 */
public final class HttpWeightStore implements WeightStore {
  private final PlatformClient client;

  private HttpWeightStore(PlatformClient client) {
    this.client = client;
  }

  /**
   * Returns a client of the store.
   *
   * @param address the base address of the store
   * @param timeouts the time limits
   * @return the client
   * @throws io.snipeloom.state.SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} if the
   *     address is malformed
   */
  public static HttpWeightStore of(URI address, ClientTimeouts timeouts) {
    return new HttpWeightStore(
        PlatformClient.of(address, ErrorCode.CONNECTION_LOST, timeouts.connect(), timeouts.read()));
  }

  /** Closes all connections. */
  public void stop() {
    client.stop();
  }

  @Override
  public byte[] fetch(String name, long from, int length) {
    String path = "/weights/" + URLEncoder.encode(name, StandardCharsets.UTF_8);
    return client.call(
        "weights.fetch", HttpRequest.GET(path + "?from=" + from + "&length=" + length));
  }
}

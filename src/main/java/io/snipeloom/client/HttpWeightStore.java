package io.snipeloom.client;

import io.micronaut.http.HttpRequest;
import io.snipeloom.state.ErrorCode;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * An HTTP client for the weight store of the platform.
 *
 * <p>Thread-safe. Calls block until they complete or time out.
 */
public final class HttpWeightStore implements WeightStore {
  private final PlatformClient client;

  private HttpWeightStore(PlatformClient client) {
    this.client = client;
  }

  /**
   * Creates a client.
   *
   * @param address the base URL of the store
   * @throws io.snipeloom.state.SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} if the
   *     address is not an HTTP URL
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
  public byte[] fetch(String name, long offset, int length) {
    String path = "/weights/" + URLEncoder.encode(name, StandardCharsets.UTF_8);
    return client.call(
        "weights.fetch", HttpRequest.GET(path + "?from=" + offset + "&length=" + length));
  }
}

package io.snipeloom.client;

import io.micronaut.http.HttpRequest;
import io.snipeloom.state.ErrorCode;
import java.net.URI;
import java.util.List;

/**
 * An HTTP client for the instance list of the platform.
 *
 * <p>Thread-safe. Calls block until they complete or time out.
 */
public final class HttpInstanceList implements InstanceList {
  private final PlatformClient client;

  private HttpInstanceList(PlatformClient client) {
    this.client = client;
  }

  /**
   * Creates a client.
   *
   * @param address the base URL of the service
   * @throws io.snipeloom.state.SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} if the
   *     address is not an HTTP URL
   */
  public static HttpInstanceList of(URI address, ClientTimeouts timeouts) {
    return new HttpInstanceList(
        PlatformClient.of(address, ErrorCode.CONNECTION_LOST, timeouts.connect(), timeouts.read()));
  }

  /** Closes all connections. */
  public void stop() {
    client.stop();
  }

  @Override
  public List<Instance> instances() {
    HttpRequest<?> request = HttpRequest.GET("/instances");
    return List.of(client.call("instances.read", request, Instance[].class));
  }
}

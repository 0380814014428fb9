package io.snipeloom.client;

import io.micronaut.http.HttpRequest;
import io.snipeloom.state.ErrorCode;
import java.net.URI;
import java.util.List;

/**
 * The instance list of the platform over HTTP.
 *
 * <p>Thread-safe; calls block within the time limits.
 */
public final class HttpInstanceList implements InstanceList {
  private final PlatformClient client;

  private HttpInstanceList(PlatformClient client) {
    this.client = client;
  }

  /**
   * Returns a client of the list.
   *
   * @param address the base address of the list
   * @param timeouts the time limits
   * @return the client
   * @throws io.snipeloom.state.SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} if the
   *     address is malformed
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

package io.snipeloom.client;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.MediaType;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.ErrorCode;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * An HTTP client for the control interface of a model engine.
 *
 * <p>Thread-safe. Calls block until they complete or time out.
 */
public final class HttpModelEngine implements ModelEngine {
  private final PlatformClient client;

  private HttpModelEngine(PlatformClient client) {
    this.client = client;
  }

  /**
   * Creates a client.
   *
   * @param address the base URL of the engine
   * @throws io.snipeloom.state.SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} if the
   *     address is not an HTTP URL
   */
  public static HttpModelEngine of(URI address, ClientTimeouts timeouts) {
    return new HttpModelEngine(
        PlatformClient.of(address, ErrorCode.CONNECTION_LOST, timeouts.connect(), timeouts.read()));
  }

  /** Closes all connections. */
  public void stop() {
    client.stop();
  }

  @Override
  public EngineLoad load() {
    return client.call("engine.load", HttpRequest.GET("/load"), EngineLoad.class);
  }

  @Override
  public CachePage cacheEvents(long firstSequence) {
    HttpRequest<?> request = HttpRequest.GET("/cache/events?from=" + firstSequence);
    return client.call("engine.cache", request, CachePage.class);
  }

  @Override
  public void order(long fencingNumber, EngineOrder order) {
    OrderRequest body = new OrderRequest(fencingNumber, order.action(), order.subject());
    client.call("engine.order", post("/orders", PlatformClient.json(body)));
  }

  @Override
  public void cancel(String requestId) {
    String path = "/cancel/" + URLEncoder.encode(requestId, StandardCharsets.UTF_8);
    client.call("engine.cancel", post(path, new byte[0]));
  }

  private static HttpRequest<byte[]> post(String path, byte[] body) {
    return HttpRequest.POST(path, body).contentType(MediaType.APPLICATION_JSON_TYPE);
  }
}

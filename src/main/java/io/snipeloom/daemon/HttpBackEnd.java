package io.snipeloom.daemon;

import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.HttpClientConfiguration;
import io.micronaut.http.client.sse.SseClient;
import io.snipeloom.client.ClientTimeouts;
import io.snipeloom.client.EngineLoad;
import io.snipeloom.client.HttpModelEngine;
import io.snipeloom.coordination.BackEndCall;
import io.snipeloom.coordination.BackEndClient;
import io.snipeloom.coordination.BackEndListener;
import io.snipeloom.coordination.BackEndStatus;
import io.snipeloom.protocol.Header;
import io.snipeloom.protocol.HttpCall;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.UpstreamKind;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.MalformedURLException;
import java.net.Socket;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Calls the back end of a sidecar over HTTP.
 *
 * <p>Thread-safe. Control requests, such as probes, cancellations and orders, run in a separate
 * thread pool, so that they never block the calling thread.
 */
final class HttpBackEnd implements BackEndClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(30);
  private static final int CONTROL_THREADS = 2;
  private static final Set<String> UNFORWARDED_HEADERS =
      Set.of(
          "host",
          "connection",
          "content-length",
          "transfer-encoding",
          "accept-encoding",
          "keep-alive",
          "te",
          "upgrade",
          "authorization");

  private final UpstreamKind kind;
  private final URI address;
  private final HttpClient serviceClient;
  private final SseClient engineClient;
  private final HttpModelEngine engine;
  private final ExecutorService controlExecutor = Executors.newFixedThreadPool(CONTROL_THREADS);

  private HttpBackEnd(UpstreamKind kind, URI address, int maxResponseBytes) {
    this.kind = kind;
    this.address = address;
    URL url = url(address);
    HttpClientConfiguration configuration = configuration(maxResponseBytes);
    this.serviceClient = HttpClient.create(url, configuration);
    this.engineClient = SseClient.create(url, configuration);
    this.engine = HttpModelEngine.of(address, new ClientTimeouts(CONNECT_TIMEOUT, CONNECT_TIMEOUT));
  }

  /**
   * Creates a client of a back end.
   *
   * @param address the base URL of the back end
   * @param maxResponseBytes the maximum size of a response body that is read as a whole
   * @throws SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} if the address is malformed
   */
  static HttpBackEnd of(UpstreamKind kind, URI address, int maxResponseBytes) {
    return new HttpBackEnd(kind, address, maxResponseBytes);
  }

  /** Stops the control requests and closes all connections. */
  void stop() {
    controlExecutor.shutdownNow();
    if (engineClient instanceof HttpClient closeable) {
      closeable.close();
    }
    serviceClient.close();
    engine.stop();
  }

  @Override
  public BackEndCall start(HttpCall call, BackEndListener listener) {
    if (kind == UpstreamKind.MODEL_ENGINE) {
      EngineCall started = new EngineCall(listener, () -> cancelAtEngine(call));
      engineClient.eventStream(request(call)).subscribe(started);
      return started;
    }
    ServiceCall started = new ServiceCall(listener);
    serviceClient.exchange(request(call), byte[].class).subscribe(started);
    return started;
  }

  private void cancelAtEngine(HttpCall call) {
    call.headers().stream()
        .filter(header -> header.name().equals("X-Request-Id"))
        .findFirst()
        .ifPresent(header -> controlExecutor.execute(() -> cancelIgnoringErrors(header.value())));
  }

  private void cancelIgnoringErrors(String id) {
    try {
      engine.cancel(id);
    } catch (SnipeloomException e) {
      // Not needed: closing the connection stops the request as well.
    }
  }

  @Override
  public CompletionStage<BackEndStatus> probe() {
    return kind == UpstreamKind.MODEL_ENGINE
        ? CompletableFuture.supplyAsync(this::engineStatus, controlExecutor)
        : CompletableFuture.supplyAsync(this::serviceStatus, controlExecutor);
  }

  private BackEndStatus engineStatus() {
    EngineLoad load = engine.load();
    return new BackEndStatus(true, load.running(), load.queued(), load.capacity(), load.startId());
  }

  private BackEndStatus serviceStatus() {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(address.getHost(), address.getPort()),
          (int) CONNECT_TIMEOUT.toMillis());
      return new BackEndStatus(true, 0, 0, 0, "");
    } catch (IOException e) {
      return new BackEndStatus(false, 0, 0, 0, "");
    }
  }

  @Override
  public CompletionStage<Void> order(long fencingNumber, EngineOrder order) {
    return CompletableFuture.runAsync(() -> engine.order(fencingNumber, order), controlExecutor);
  }

  private static MutableHttpRequest<Object> request(HttpCall call) {
    MutableHttpRequest<Object> request =
        HttpRequest.create(HttpMethod.parse(call.method()), checkedPath(call.path()));
    for (Header header : call.headers()) {
      if (!UNFORWARDED_HEADERS.contains(header.name().toLowerCase(Locale.ROOT))) {
        request.header(header.name(), header.value());
      }
    }
    return call.body().length == 0 ? request : request.body(body(call, request));
  }

  /**
   * Returns the body as an object that the HTTP client sends unchanged. The client would encode a
   * byte array as form fields if the content type is a form, so a form is returned as text.
   */
  private static Object body(HttpCall call, MutableHttpRequest<Object> request) {
    boolean isForm =
        request
            .getContentType()
            .filter(type -> type.matches(MediaType.APPLICATION_FORM_URLENCODED_TYPE))
            .isPresent();
    if (!isForm) {
      return call.body();
    }
    String text = new String(call.body(), StandardCharsets.US_ASCII);
    if (!Arrays.equals(text.getBytes(StandardCharsets.US_ASCII), call.body())) {
      throw SnipeloomException.of(ErrorCode.INVALID_REQUEST, "the body of a form must be in ASCII");
    }
    return text;
  }

  private static String checkedPath(String path) {
    try {
      URI parsed = new URI(path);
      if (path.startsWith("/") && parsed.getHost() == null && parsed.getScheme() == null) {
        return path;
      }
    } catch (URISyntaxException e) {
      throw SnipeloomException.of(ErrorCode.INVALID_REQUEST, "the path is malformed").withCause(e);
    }
    throw SnipeloomException.of(
        ErrorCode.INVALID_REQUEST, "the path must start with exactly one slash");
  }

  private static HttpClientConfiguration configuration(int maxResponseBytes) {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setConnectTimeout(CONNECT_TIMEOUT);
    configuration.setReadTimeout(READ_TIMEOUT);
    configuration.setReadIdleTimeout(READ_TIMEOUT);
    configuration.setMaxContentLength(maxResponseBytes);
    configuration.setFollowRedirects(false);
    configuration.setExceptionOnErrorStatus(false);
    configuration.getConnectionPoolConfiguration().setEnabled(false);
    return configuration;
  }

  private static URL url(URI address) {
    try {
      return address.toURL();
    } catch (MalformedURLException | IllegalArgumentException e) {
      throw SnipeloomException.of(
              ErrorCode.INVALID_SETTINGS, "/backEnd is not an HTTP URL: " + address)
          .withCause(e);
    }
  }
}

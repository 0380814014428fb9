package io.snipeloom.client;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.MediaType;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * An HTTP client for the log of the platform.
 *
 * <p>Each call is sent to one address and is not retried by this class, because an append that got
 * no response may have been written. After a failed call, subsequent calls use the next address.
 * Thread-safe. Calls block until they complete or time out.
 */
public final class HttpLogService implements LogService {
  /** The maximum time that one read can wait for records; longer waits are shortened to it. */
  public static final Duration MAX_WAIT = Duration.ofSeconds(10);

  private static final String APPEND = "log.append";
  private static final String READ = "log.read";

  private final List<Endpoint> endpoints;
  private final AtomicInteger currentIndex = new AtomicInteger();

  private HttpLogService(List<Endpoint> endpoints) {
    this.endpoints = List.copyOf(endpoints);
  }

  /**
   * Creates a client.
   *
   * @param addresses the base URLs of the log, at least one
   * @param timeouts the timeouts; a read that waits for records has a read timeout that is longer
   *     by {@link #MAX_WAIT}
   * @throws SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} if there is no address or if
   *     one is not an HTTP URL
   */
  public static HttpLogService of(List<URI> addresses, ClientTimeouts timeouts) {
    if (addresses.isEmpty()) {
      throw SnipeloomException.of(ErrorCode.INVALID_SETTINGS, "no log address configured");
    }
    List<Endpoint> endpoints = new ArrayList<>();
    for (URI address : addresses) {
      endpoints.add(Endpoint.of(address, timeouts));
    }
    return new HttpLogService(endpoints);
  }

  /** Closes all connections. */
  public void stop() {
    endpoints.forEach(Endpoint::stop);
  }

  @Override
  public long append(String stream, byte[] data) {
    HttpRequest<byte[]> request =
        HttpRequest.POST(path(stream), PlatformClient.json(new AppendRequest(data)))
            .contentType(MediaType.APPLICATION_JSON_TYPE);
    try {
      return callCurrent(endpoint -> endpoint.client().call(APPEND, request, AppendResponse.class))
          .offset();
    } catch (SnipeloomException e) {
      throw e.withRunState(RunState.UNKNOWN);
    }
  }

  @Override
  public LogPage read(String stream, long firstOffset, int limit, Duration wait) {
    long waitMillis = Math.min(wait.toMillis(), MAX_WAIT.toMillis());
    String query = "?from=" + firstOffset + "&limit=" + limit + "&waitMillis=" + waitMillis;
    HttpRequest<?> request = HttpRequest.GET(path(stream) + query);
    return callCurrent(
        endpoint -> endpoint.readClient(waitMillis).call(READ, request, LogPage.class));
  }

  private <T> T callCurrent(Function<Endpoint, T> action) {
    int index = currentIndex.get();
    try {
      return action.apply(endpoints.get(index));
    } catch (SnipeloomException e) {
      currentIndex.compareAndSet(index, (index + 1) % endpoints.size());
      throw e;
    }
  }

  private static String path(String stream) {
    return "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records";
  }

  /**
   * The clients for one address. Reads that wait for records use a client with a longer read
   * timeout than other calls.
   */
  private record Endpoint(PlatformClient client, PlatformClient waitingClient) {

    static Endpoint of(URI address, ClientTimeouts timeouts) {
      Duration read = timeouts.read();
      return new Endpoint(
          newClient(address, timeouts, read), newClient(address, timeouts, waitingTimeout(read)));
    }

    private static Duration waitingTimeout(Duration read) {
      return read.plus(MAX_WAIT);
    }

    private static PlatformClient newClient(URI address, ClientTimeouts timeouts, Duration read) {
      return PlatformClient.of(address, ErrorCode.LOG_UNAVAILABLE, timeouts.connect(), read);
    }

    PlatformClient readClient(long waitMillis) {
      return waitMillis > 0 ? waitingClient : client;
    }

    void stop() {
      client.stop();
      waitingClient.stop();
    }
  }
}

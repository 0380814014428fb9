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
 * The log of the platform over HTTP.
 *
 * <p>A call uses one address and is never repeated here, since an append without an answer may have
 * been written. After a failed call the following calls use the next address. Thread-safe; calls
 * block within the time limits.
 */
public final class HttpLogService implements LogService {
  /** The longest wait of one read. */
  public static final Duration MAX_WAIT = Duration.ofSeconds(10);

  private static final String APPEND = "log.append";
  private static final String READ = "log.read";

  private final List<Address> addresses;
  private final AtomicInteger current = new AtomicInteger();

  private HttpLogService(List<Address> addresses) {
    this.addresses = List.copyOf(addresses);
  }

  /**
   * Returns a client of the log.
   *
   * @param addresses the base addresses, at least one
   * @param timeouts the time limits; a read may take its wait longer
   * @return the client
   * @throws SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} if an address is malformed
   */
  public static HttpLogService of(List<URI> addresses, ClientTimeouts timeouts) {
    if (addresses.isEmpty()) {
      throw SnipeloomException.of(ErrorCode.INVALID_SETTINGS, "no address of the log");
    }
    List<Address> clients = new ArrayList<>();
    for (URI address : addresses) {
      clients.add(Address.of(address, timeouts));
    }
    return new HttpLogService(clients);
  }

  /** Closes all connections. */
  public void stop() {
    addresses.forEach(Address::stop);
  }

  @Override
  public long append(String stream, byte[] data) {
    HttpRequest<byte[]> request =
        HttpRequest.POST(path(stream), PlatformClient.json(new AppendRequest(data)))
            .contentType(MediaType.APPLICATION_JSON_TYPE);
    try {
      return call(address -> address.writer().call(APPEND, request, AppendResponse.class)).offset();
    } catch (SnipeloomException e) {
      throw e.withRunState(RunState.UNKNOWN);
    }
  }

  @Override
  public LogPage read(String stream, long from, int limit, Duration wait) {
    long waitMillis = Math.min(wait.toMillis(), MAX_WAIT.toMillis());
    String query = "?from=" + from + "&limit=" + limit + "&waitMillis=" + waitMillis;
    HttpRequest<?> request = HttpRequest.GET(path(stream) + query);
    return call(address -> address.reader(waitMillis).call(READ, request, LogPage.class));
  }

  private <T> T call(Function<Address, T> action) {
    int index = current.get();
    try {
      return action.apply(addresses.get(index));
    } catch (SnipeloomException e) {
      current.compareAndSet(index, (index + 1) % addresses.size());
      throw e;
    }
  }

  private static String path(String stream) {
    return "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records";
  }

  /** The clients of one address: waiting reads have a longer time limit than other calls. */
  private record Address(PlatformClient writer, PlatformClient waitingReader) {

    static Address of(URI address, ClientTimeouts timeouts) {
      Duration read = timeouts.read();
      return new Address(client(address, timeouts, read), client(address, timeouts, waiting(read)));
    }

    private static Duration waiting(Duration read) {
      return read.plus(MAX_WAIT);
    }

    private static PlatformClient client(URI address, ClientTimeouts timeouts, Duration read) {
      return PlatformClient.of(address, ErrorCode.LOG_UNAVAILABLE, timeouts.connect(), read);
    }

    PlatformClient reader(long waitMillis) {
      return waitMillis > 0 ? waitingReader : writer;
    }

    void stop() {
      writer.stop();
      waitingReader.stop();
    }
  }
}

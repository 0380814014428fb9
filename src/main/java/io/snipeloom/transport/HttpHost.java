package io.snipeloom.transport;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.Map;

/**
 * Hosts the HTTP controllers of one surface on one address.
 *
 * <p>A controller belongs to the surface that it names with {@code @Requires(property =
 * HttpHost.SURFACE, value = "...")}. Several hosts may run in one process. Thread-safe; started and
 * stopped once.
 */
public final class HttpHost {
  /** The property that names the surface. */
  public static final String SURFACE = "snipeloom.surface";

  /** The port that lets the system choose a free one. */
  public static final int ANY_PORT = 0;

  private static final int MICRONAUT_RANDOM_PORT = -1;

  private final ApplicationContext context;
  private final EmbeddedServer server;

  private HttpHost(ApplicationContext context) {
    this.context = context;
    this.server = context.getBean(EmbeddedServer.class);
  }

  /**
   * Returns a host that is not started yet.
   *
   * @param surface the surface whose controllers are hosted
   * @param address the IP address to listen on
   * @param port the TCP port, or {@link #ANY_PORT}
   * @param limits the limits on requests
   * @param beans the objects that the controllers take in their constructors
   * @return the host
   */
  public static HttpHost of(
      String surface, String address, int port, HttpLimits limits, Object... beans) {
    ApplicationContext context =
        ApplicationContext.builder()
            .banner(false)
            .deduceEnvironment(false)
            .properties(
                Map.of(
                    SURFACE,
                    surface,
                    "micronaut.server.host",
                    address,
                    "micronaut.server.port",
                    port == ANY_PORT ? MICRONAUT_RANDOM_PORT : port,
                    "micronaut.server.max-request-size",
                    limits.maxBodyBytes(),
                    "micronaut.server.netty.max-header-size",
                    limits.maxHeaderBytes(),
                    "micronaut.server.idle-timeout",
                    limits.idleTimeout().toMillis() + "ms",
                    "micronaut.server.thread-selection",
                    "MANUAL"))
            .singletons(beans)
            .build();
    return new HttpHost(context.start());
  }

  /** Starts to listen. */
  public void start() {
    server.start();
  }

  /** Stops listening and closes all connections. */
  public void stop() {
    context.close();
  }

  /**
   * Returns the port that the host listens on.
   *
   * @return the TCP port
   */
  public int port() {
    return server.getPort();
  }
}

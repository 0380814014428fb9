package io.snipeloom.transport;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.Map;

/**
 * An HTTP server for the controllers of one API on one address.
 *
 * <p>A controller selects its API with {@code @Requires(property = HttpHost.SURFACE, value =
 * "...")}. A process may run several servers. Thread-safe; can be started and stopped once.
 */
public final class HttpHost {
  /** The name of the property that selects the API. */
  public static final String SURFACE = "snipeloom.surface";

  /** The port number that lets the system choose a free port. */
  public static final int ANY_PORT = 0;

  private static final int MICRONAUT_RANDOM_PORT = -1;

  private final ApplicationContext context;
  private final EmbeddedServer server;

  private HttpHost(ApplicationContext context) {
    this.context = context;
    this.server = context.getBean(EmbeddedServer.class);
  }

  /**
   * Creates a server without starting it.
   *
   * @param surface the API whose controllers are served
   * @param address the IP address to listen on
   * @param port the TCP port, or {@link #ANY_PORT}
   * @param beans the objects to inject into the constructors of the controllers
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

  /** Starts listening. */
  public void start() {
    server.start();
  }

  /** Stops listening and closes all connections. */
  public void stop() {
    context.close();
  }

  /** Returns the TCP port that the server listens on. */
  public int port() {
    return server.getPort();
  }
}

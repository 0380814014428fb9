package io.snipeloom.routing;

import java.util.List;

/**
 * Which requests go to which services, and on which terms.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the route
 * @param host the host that requests name, in lower case
 * @param pathPrefix the beginning of the paths, with a slash at both ends
 * @param type what may be repeated
 * @param timeoutMillis the longest time until a final answer, in milliseconds
 * @param targetMillis the time to the answer or first event that callers expect, in milliseconds
 * @param targetGapMillis the longest pause between events that callers expect, in milliseconds; 0
 *     where the route has no events
 * @param priority the urgency, 0 is the most urgent
 * @param services the services and their shares
 * @param maxAttempts the most replicas that may run one request
 * @param anonymous whether requests need no API key
 * @param modelRequests whether requests carry a prompt for a model engine
 * @param resumable whether a stream may go on at another replica after its last event
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteType type,
    long timeoutMillis,
    long targetMillis,
    long targetGapMillis,
    int priority,
    List<ServiceShare> services,
    int maxAttempts,
    boolean anonymous,
    boolean modelRequests,
    boolean resumable) {

  /** Copies the services and checks the prefix. */
  public Route {
    services = List.copyOf(services);
    if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
      throw new IllegalArgumentException(
          "path prefix must begin and end with a slash: " + pathPrefix);
    }
    if (services.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " names no service");
    }
  }

  /**
   * Returns whether a request of this route that may have run may be sent once more.
   *
   * @return true if a second run is harmless
   */
  public boolean mayRunAgain() {
    return type.mayRunAgain(resumable);
  }

  /**
   * Chooses a service by weight.
   *
   * @param draw a number from 0 inclusive to 1 exclusive
   * @return the name of the service
   */
  public String serviceFor(double draw) {
    int total = services.stream().mapToInt(ServiceShare::weight).sum();
    double left = draw * total;
    for (ServiceShare share : services) {
      left -= share.weight();
      if (left < 0) {
        return share.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}

package io.snipeloom.routing;

import java.util.List;

/**
 * Defines which requests go to which services, and under which rules.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the route
 * @param host the host that requests name, in lower case
 * @param pathPrefix the prefix of the paths
 * @param type whether requests may be executed more than once
 * @param timeoutMillis the time limit for the complete response, in milliseconds
 * @param targetMillis the expected time to the response or the first event, in milliseconds
 * @param targetGapMillis the expected maximum time between events, in milliseconds; 0 if the route
 *     has no events
 * @param priority the default priority of requests, 0 being the highest
 * @param services the services and their weights
 * @param maxAttempts the maximum number of replicas that may execute one request
 * @param anonymous whether requests need no API key
 * @param modelRequests whether requests carry a prompt for a model engine
 * @param resumable whether a stream may be resumed on another replica after its last event
 * @param homes the regions in which its requests may be processed
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
    boolean resumable,
    Homes homes) {

  /** Copies the services. */
  public Route {
    services = List.copyOf(services);
    if (services.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " names no service");
    }
  }

  /** Creates a route whose requests may be processed everywhere. */
  public Route(
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
    this(
        name,
        host,
        pathPrefix,
        type,
        timeoutMillis,
        targetMillis,
        targetGapMillis,
        priority,
        services,
        maxAttempts,
        anonymous,
        modelRequests,
        resumable,
        Homes.EVERYWHERE);
  }

  /**
   * Returns whether a request that may have been executed may be sent again.
   *
   * @return true if a second execution is harmless
   */
  public boolean mayRunAgain() {
    return type.mayRunAgain(resumable);
  }

  /**
   * Returns whether requests are streams that callers can resume.
   *
   * @return true if an attempt can go on after the last event of an earlier one
   */
  public boolean isResumableStream() {
    return type == RouteType.STREAMING && resumable;
  }

  /**
   * Returns whether requests may go to a service.
   *
   * @param service the name of the service
   */
  public boolean leadsTo(String service) {
    return services.stream().anyMatch(share -> share.service().equals(service));
  }

  /**
   * Chooses a service at random, by weight.
   *
   * @param draw a random number from 0 inclusive to 1 exclusive
   * @return the name of the service
   */
  public String serviceFor(double draw) {
    long total = services.stream().mapToLong(ServiceShare::weight).sum();
    double remaining = draw * total;
    for (ServiceShare share : services) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}

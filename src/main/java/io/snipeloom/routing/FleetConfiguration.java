package io.snipeloom.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operators' configuration, with the look-ups that requests need.
 *
 * <p>Immutable and thread-safe.
 */
public final class FleetConfiguration {
  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceConfiguration> services = new HashMap<>();
  private final Map<String, CustomerConfiguration> customersByKey = new HashMap<>();
  private final List<CustomerConfiguration> customers;
  private final RequestLimits limits;

  private FleetConfiguration(
      long version,
      List<Route> routes,
      List<ServiceConfiguration> services,
      List<CustomerConfiguration> customers,
      RequestLimits limits) {
    this.version = version;
    this.limits = limits;
    this.customers = List.copyOf(customers);
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
    services.forEach(service -> this.services.put(service.name(), service));
    for (CustomerConfiguration customer : customers) {
      customer.apiKeys().forEach(key -> customersByKey.put(key, customer));
    }
  }

  /**
   * Returns a configuration.
   *
   * @param version the version, which only grows
   * @param routes the routes
   * @param services the services
   * @param customers the customers; empty if requests need no keys
   * @param limits the bounds on requests
   * @return the configuration
   */
  public static FleetConfiguration of(
      long version,
      List<Route> routes,
      List<ServiceConfiguration> services,
      List<CustomerConfiguration> customers,
      RequestLimits limits) {
    return new FleetConfiguration(version, routes, services, customers, limits);
  }

  /**
   * Returns the version.
   *
   * @return the version
   */
  public long version() {
    return version;
  }

  /**
   * Returns the bounds on requests.
   *
   * @return the bounds
   */
  public RequestLimits limits() {
    return limits;
  }

  /**
   * Returns the customers.
   *
   * @return the customers, empty if requests need no keys
   */
  public List<CustomerConfiguration> customers() {
    return customers;
  }

  /**
   * Finds the route with the longest prefix of a path.
   *
   * @param host the host of the request, with or without a port
   * @param path the path of the request, without its query
   * @return the route, if there is one
   */
  public Optional<Route> route(String host, String path) {
    List<Route> candidates = routesByHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
    if (candidates == null) {
      return Optional.empty();
    }
    return candidates.stream().filter(route -> path.startsWith(route.pathPrefix())).findFirst();
  }

  /**
   * Finds the holder of an API key.
   *
   * @param apiKey the key
   * @return the customer, if the key is known
   */
  public Optional<CustomerConfiguration> customerOf(String apiKey) {
    return Optional.ofNullable(customersByKey.get(apiKey));
  }

  /**
   * Finds the terms of a service.
   *
   * @param name the name of the service
   * @return the terms, if the service is known
   */
  public Optional<ServiceConfiguration> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
  }
}

package io.snipeloom.routing;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One version of the operators' configuration, indexed for request processing.
 *
 * <p>Immutable and thread-safe.
 */
public final class FleetConfiguration {
  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceConfiguration> services = new HashMap<>();
  private final Map<String, CustomerConfiguration> customersByKey = new HashMap<>();
  private final Map<String, Homes> homesByRoute = new HashMap<>();
  private final Map<CustomerId, Homes> homesByCustomer = new HashMap<>();
  private final boolean requiresApiKeys;
  private final List<CustomerConfiguration> customers;
  private final RequestLimits limits;
  private final List<String> problems;

  private FleetConfiguration(
      long version,
      List<Route> routes,
      List<ServiceConfiguration> services,
      Optional<List<CustomerConfiguration>> customers,
      RequestLimits limits,
      List<String> problems) {
    this.version = version;
    this.problems = List.copyOf(problems);
    this.limits = limits;
    this.requiresApiKeys = customers.isPresent();
    this.customers = List.copyOf(customers.orElse(List.of()));
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
      homesByRoute.merge(route.name(), route.homes(), Homes::and);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
    services.forEach(service -> this.services.put(service.name(), service));
    for (CustomerConfiguration customer : this.customers) {
      customer.apiKeys().forEach(key -> customersByKey.put(key, customer));
      homesByCustomer.merge(customer.id(), customer.homes(), Homes::and);
    }
  }

  /**
   * Creates a configuration.
   *
   * @param version the version, which increases with every change
   * @param routes the routes
   * @param services the services
   * @param customers the customers; empty if requests need no API key, while a list without
   *     customers lets no request in that needs one
   * @param limits the limits on requests
   * @param problems what could not be read and counts as the strictest that it may mean
   * @return the configuration
   */
  public static FleetConfiguration of(
      long version,
      List<Route> routes,
      List<ServiceConfiguration> services,
      Optional<List<CustomerConfiguration>> customers,
      RequestLimits limits,
      List<String> problems) {
    return new FleetConfiguration(version, routes, services, customers, limits, problems);
  }

  /** Returns the values that could not be read and count as the strictest that they may mean. */
  public List<String> problems() {
    return problems;
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /** Returns the limits on requests. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns whether requests need an API key of a customer, unless their route is anonymous. */
  public boolean requiresApiKeys() {
    return requiresApiKeys;
  }

  /** Returns the customers. */
  public List<CustomerConfiguration> customers() {
    return customers;
  }

  /**
   * Finds the route with the longest matching path prefix.
   *
   * @param host the host of the request, with or without a port
   * @param path the path of the request, without its query
   * @return the route, empty if none matches
   */
  public Optional<Route> route(String host, String path) {
    List<Route> candidates = routesByHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
    if (candidates == null) {
      return Optional.empty();
    }
    return candidates.stream().filter(route -> path.startsWith(route.pathPrefix())).findFirst();
  }

  /** Returns the services. */
  public Collection<ServiceConfiguration> services() {
    return Collections.unmodifiableCollection(services.values());
  }

  /** Returns the services that may begin streams which callers can resume. */
  public Set<String> servicesOfResumableStreams() {
    return routesByHost.values().stream()
        .flatMap(List::stream)
        .filter(Route::isResumableStream)
        .flatMap(route -> route.services().stream())
        .filter(share -> share.weight() > 0)
        .map(ServiceShare::service)
        .collect(Collectors.toSet());
  }

  /**
   * Finds the customer that an API key belongs to.
   *
   * @param apiKey the key
   * @return the customer, empty if the key is unknown
   */
  public Optional<CustomerConfiguration> customerOf(String apiKey) {
    return Optional.ofNullable(customersByKey.get(apiKey));
  }

  /**
   * Finds the configuration of a service.
   *
   * @param name the name of the service
   * @return the configuration, empty if the service is unknown
   */
  public Optional<ServiceConfiguration> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns the regions in which requests of a route and a customer may be processed.
   *
   * @param route the name of the route
   * @param customer the customer, empty if there is none
   * @return the regions that both allow; those of a route or a customer that is gone do not bind
   */
  public Homes homesOf(String route, Optional<CustomerId> customer) {
    Homes ofRoute = homesByRoute.getOrDefault(route, Homes.EVERYWHERE);
    return customer.map(homesByCustomer::get).map(ofRoute::and).orElse(ofRoute);
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
  }
}

package io.snipeloom.routing;

/**
 * A service of a route and its share of the route's requests.
 *
 * @param service the name of the service
 * @param weight the share relative to the other services of the route, at least 0
 */
public record ServiceShare(String service, int weight) {

  /** Checks the weight. */
  public ServiceShare {
    if (weight < 0) {
      throw new IllegalArgumentException("weight must be at least 0 but was " + weight);
    }
  }
}

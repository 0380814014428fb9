package io.snipeloom.routing;

import java.util.Optional;

/**
 * The configuration of a service.
 *
 * @param name the name of the service
 * @param maxConnections the number of connections that one replica accepts from all instances
 *     together
 * @param engine the properties of its engines, empty if it serves no models
 * @param coldStart how its replicas are after a start
 */
public record ServiceConfiguration(
    String name, int maxConnections, Optional<EngineTraits> engine, ColdStart coldStart) {

  /** Creates the configuration of a service whose replicas are never cold. */
  public ServiceConfiguration(String name, int maxConnections, Optional<EngineTraits> engine) {
    this(name, maxConnections, engine, ColdStart.NONE);
  }
}

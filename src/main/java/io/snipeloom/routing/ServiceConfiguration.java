package io.snipeloom.routing;

import java.util.Optional;

/**
 * What the configuration says of a service.
 *
 * @param name the name of the service
 * @param maxConnections the connections that one replica accepts from all instances together
 * @param engine the traits of its engines, if they serve models
 */
public record ServiceConfiguration(
    String name, int maxConnections, Optional<EngineTraits> engine) {}

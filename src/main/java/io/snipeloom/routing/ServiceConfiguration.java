package io.snipeloom.routing;

import java.util.Optional;

/**
 * The configuration of a service.
 *
 * @param name the name of the service
 * @param maxConnections the number of connections that one replica accepts from all instances
 *     together
 * @param engine the properties of its engines, empty if it serves no models
 */
public record ServiceConfiguration(
    String name, int maxConnections, Optional<EngineTraits> engine) {}

package io.snipeloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.snipeloom.routing.CustomerConfiguration;
import io.snipeloom.routing.EngineTraits;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.routing.RequestLimits;
import io.snipeloom.routing.Route;
import io.snipeloom.routing.RouteType;
import io.snipeloom.routing.ServiceConfiguration;
import io.snipeloom.routing.ServiceShare;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Decodes the platform's configuration document, which is JSON. Unknown fields are ignored.
 *
 * <p>Stateless and thread-safe.
 */
public final class ConfigurationDecoder {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int DEFAULT_MAX_CONNECTIONS = 1_000;

  private ConfigurationDecoder() {}

  /**
   * Decodes and validates a document.
   *
   * @throws SnipeloomException with {@link ErrorCode#INVALID_CONFIGURATION} if the document is not
   *     valid JSON, lacks a required field or has a value out of range
   */
  public static FleetConfiguration decode(byte[] document) {
    try {
      JsonNode root = MAPPER.readTree(document);
      return FleetConfiguration.of(
          required(root, "version").asLong(),
          routes(root),
          services(root),
          customers(root),
          limits(root.path("limits")),
          PlacementDecoder.problems(root));
    } catch (IOException | IllegalArgumentException e) {
      throw SnipeloomException.of(ErrorCode.INVALID_CONFIGURATION, e.getMessage()).withCause(e);
    }
  }

  private static List<Route> routes(JsonNode root) {
    List<Route> routes = new ArrayList<>();
    for (JsonNode node : required(root, "routes")) {
      routes.add(route(node));
    }
    return routes;
  }

  private static Route route(JsonNode node) {
    return new Route(
        required(node, "name").asText(),
        required(node, "host").asText().toLowerCase(Locale.ROOT),
        required(node, "pathPrefix").asText(),
        type(required(node, "type").asText()),
        required(node, "timeoutMs").asLong(),
        node.path("targetLatencyMs").asLong(),
        node.path("targetGapMs").asLong(),
        node.path("priority").asInt(),
        shares(node),
        Math.max(1, node.path("maxAttempts").asInt(1)),
        node.path("anonymous").asBoolean(),
        node.path("sessionAffinity").asBoolean(),
        node.path("streamResume").asBoolean(),
        PlacementDecoder.homes(node));
  }

  private static RouteType type(String text) {
    return switch (text) {
      case "idempotent" -> RouteType.IDEMPOTENT;
      case "non_idempotent" -> RouteType.NON_IDEMPOTENT;
      case "streaming" -> RouteType.STREAMING;
      default -> throw new IllegalArgumentException("unknown route type: " + text);
    };
  }

  private static List<ServiceShare> shares(JsonNode node) {
    List<ServiceShare> shares = new ArrayList<>();
    for (JsonNode share : node.path("trafficSplit")) {
      shares.add(
          new ServiceShare(required(share, "service").asText(), share.path("weight").asInt(1)));
    }
    if (shares.isEmpty()) {
      shares.add(new ServiceShare(required(node, "service").asText(), 1));
    }
    return shares;
  }

  private static List<ServiceConfiguration> services(JsonNode root) {
    List<ServiceConfiguration> services = new ArrayList<>();
    for (JsonNode node : required(root, "services")) {
      services.add(
          new ServiceConfiguration(
              required(node, "name").asText(),
              node.path("maxConnections").asInt(DEFAULT_MAX_CONNECTIONS),
              engine(node.path("engine")),
              PlacementDecoder.coldStart(node)));
    }
    return services;
  }

  private static Optional<EngineTraits> engine(JsonNode node) {
    if (!node.isObject()) {
      return Optional.empty();
    }
    return Optional.of(
        new EngineTraits(
            Math.max(1, node.path("slots").asInt(1)),
            Math.max(1, node.path("kvCapacityTokens").asLong(1)),
            Math.max(1, node.path("stride").asInt(1))));
  }

  private static List<CustomerConfiguration> customers(JsonNode root) {
    List<CustomerConfiguration> customers = new ArrayList<>();
    for (JsonNode node : root.path("tenants")) {
      List<String> keys = new ArrayList<>();
      node.path("apiKeys").forEach(key -> keys.add(key.asText()));
      customers.add(
          new CustomerConfiguration(
              CustomerId.of(required(node, "name").asText()),
              keys,
              node.has("priority")
                  ? OptionalInt.of(node.get("priority").asInt())
                  : OptionalInt.empty(),
              node.has("prepaid")
                  ? OptionalLong.of(node.get("prepaid").asLong())
                  : OptionalLong.empty(),
              PlacementDecoder.homes(node)));
    }
    return customers;
  }

  private static RequestLimits limits(JsonNode node) {
    RequestLimits defaults = RequestLimits.DEFAULT;
    return new RequestLimits(
        node.path("maxHeaderBytes").asInt(defaults.maxHeaderBytes()),
        node.path("maxBodyBytes").asInt(defaults.maxBodyBytes()),
        node.path("headerTimeoutMs").asLong(defaults.headerTimeoutMillis()),
        node.path("idleTimeoutMs").asLong(defaults.idleTimeoutMillis()));
  }

  private static JsonNode required(JsonNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null || value.isNull()) {
      throw new IllegalArgumentException("field " + field + " is missing");
    }
    return value;
  }
}

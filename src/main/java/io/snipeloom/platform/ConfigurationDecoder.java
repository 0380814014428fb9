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
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Function;

/**
 * Decodes one configuration document of the platform, which is JSON. Unknown fields are ignored.
 *
 * <p>The store accepts only valid configurations, so a document is refused only if nothing in it
 * can be relied on. A value that cannot be read is taken for the strictest that it may mean, and an
 * entry whose purpose cannot be read is left out; the rest of the document is in force. Confined to
 * one thread.
 */
public final class ConfigurationDecoder {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int DEFAULT_MAX_CONNECTIONS = 1_000;

  /** The time limit of a route whose own one cannot be read, in milliseconds. */
  private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

  /** The highest number that is told from higher ones, with room for sums. */
  private static final int MAX_VALUE = 1 << 30;

  private final JsonNode root;
  private final List<String> problems = new ArrayList<>();

  private ConfigurationDecoder(JsonNode root) {
    this.root = root;
  }

  /**
   * Decodes a document.
   *
   * @throws SnipeloomException with {@link ErrorCode#INVALID_CONFIGURATION} if the document is not
   *     valid JSON or lacks its version or its routes
   */
  public static FleetConfiguration decode(byte[] document) {
    try {
      return new ConfigurationDecoder(MAPPER.readTree(document)).configuration();
    } catch (IOException | IllegalArgumentException e) {
      throw SnipeloomException.of(ErrorCode.INVALID_CONFIGURATION, e.getMessage()).withCause(e);
    }
  }

  private FleetConfiguration configuration() {
    JsonNode version = required(root, "version");
    if (!version.isIntegralNumber() || !version.canConvertToLong()) {
      throw new IllegalArgumentException("field version is not an integer or too large");
    }
    final List<Route> routes = all(required(root, "routes"), "route", this::route);
    final List<ServiceConfiguration> services =
        all(root.path("services"), "service", this::service);
    final Optional<List<CustomerConfiguration>> customers = customers();
    final RequestLimits limits = limits(root.path("limits"));
    problems.addAll(PlacementDecoder.problems(root));
    return FleetConfiguration.of(version.asLong(), routes, services, customers, limits, problems);
  }

  /** Decodes the entries of a list that can be read, and records the others as problems. */
  private <T> List<T> all(JsonNode nodes, String kind, Function<JsonNode, T> decode) {
    List<T> decoded = new ArrayList<>();
    for (JsonNode node : nodes) {
      try {
        decoded.add(decode.apply(node));
      } catch (IllegalArgumentException e) {
        problems.add("%s %s is left out: %s".formatted(kind, nameOf(node), e.getMessage()));
      }
    }
    return decoded;
  }

  private Route route(JsonNode node) {
    return new Route(
        required(node, "name").asText(),
        required(node, "host").asText().toLowerCase(Locale.ROOT),
        required(node, "pathPrefix").asText(),
        type(node),
        timeoutMillis(node),
        whole(node, "targetLatencyMs", 0, 0),
        whole(node, "targetGapMs", 0, 0),
        whole(node, "priority", 0, Integer.MIN_VALUE),
        shares(node),
        whole(node, "maxAttempts", 1, 1),
        node.path("anonymous").asBoolean(),
        node.path("sessionAffinity").asBoolean(),
        node.path("streamResume").asBoolean(),
        PlacementDecoder.homes(node));
  }

  private RouteType type(JsonNode node) {
    return switch (node.path("type").asText()) {
      case "idempotent" -> RouteType.IDEMPOTENT;
      case "non_idempotent" -> RouteType.NON_IDEMPOTENT;
      case "streaming" -> RouteType.STREAMING;
      default -> {
        addProblem(node, "type");
        yield RouteType.NON_IDEMPOTENT;
      }
    };
  }

  private long timeoutMillis(JsonNode node) {
    if (node.path("timeoutMs").isNumber()) {
      return whole(node, "timeoutMs", 0, 1);
    }
    addProblem(node, "timeoutMs");
    return DEFAULT_TIMEOUT_MILLIS;
  }

  /** Decodes the services of a route; requests of a route without any are refused. */
  private List<ServiceShare> shares(JsonNode node) {
    List<ServiceShare> shares = new ArrayList<>();
    for (JsonNode share : node.path("trafficSplit")) {
      shares.add(new ServiceShare(share.path("service").asText(), whole(share, "weight", 1, 0)));
    }
    if (shares.isEmpty()) {
      if (!node.path("service").isTextual()) {
        addProblem(node, "service");
      }
      shares.add(new ServiceShare(node.path("service").asText(), 1));
    }
    return shares;
  }

  private ServiceConfiguration service(JsonNode node) {
    return new ServiceConfiguration(
        required(node, "name").asText(),
        whole(node, "maxConnections", DEFAULT_MAX_CONNECTIONS, Integer.MIN_VALUE),
        engine(node.path("engine")),
        PlacementDecoder.coldStart(node));
  }

  private Optional<EngineTraits> engine(JsonNode node) {
    if (!node.isObject()) {
      return Optional.empty();
    }
    return Optional.of(
        new EngineTraits(
            whole(node, "slots", 1, 1),
            Math.max(1, node.path("kvCapacityTokens").asLong(1)),
            whole(node, "stride", 1, 1)));
  }

  /** Decodes the customers, empty if the document has no list of them. */
  private Optional<List<CustomerConfiguration>> customers() {
    JsonNode nodes = root.path("tenants");
    return nodes.isMissingNode() || nodes.isNull()
        ? Optional.empty()
        : Optional.of(all(nodes, "customer", this::customer));
  }

  private CustomerConfiguration customer(JsonNode node) {
    List<String> keys = new ArrayList<>();
    node.path("apiKeys").forEach(key -> keys.add(key.asText()));
    return CustomerConfiguration.of(
        required(node, "name").asText(),
        keys,
        node.hasNonNull("priority")
            ? OptionalInt.of(whole(node, "priority", 0, Integer.MIN_VALUE))
            : OptionalInt.empty(),
        node.hasNonNull("prepaid")
            ? OptionalLong.of(node.get("prepaid").asLong())
            : OptionalLong.empty(),
        PlacementDecoder.homes(node));
  }

  private RequestLimits limits(JsonNode node) {
    RequestLimits defaults = RequestLimits.DEFAULT;
    return new RequestLimits(
        limit(node, "maxHeaderBytes", defaults.maxHeaderBytes(), 1),
        limit(node, "maxBodyBytes", defaults.maxBodyBytes(), 0),
        limit(node, "headerTimeoutMs", (int) defaults.headerTimeoutMillis(), 1),
        limit(node, "idleTimeoutMs", (int) defaults.idleTimeoutMillis(), 1));
  }

  /** Returns a limit, the default if it is missing or none that a request can keep. */
  private int limit(JsonNode limits, String field, int defaultValue, int least) {
    int value = whole(limits, field, defaultValue, Integer.MIN_VALUE);
    if (value >= least) {
      return value;
    }
    problems.add("limit %s cannot be kept; the default holds".formatted(field));
    return defaultValue;
  }

  /** Returns a number rounded towards 0, at most {@link #MAX_VALUE}; the default if missing. */
  private static int whole(JsonNode node, String field, int defaultValue, int least) {
    double value = node.path(field).asDouble(defaultValue);
    return (int) Math.max(least, Math.min(MAX_VALUE, value));
  }

  private void addProblem(JsonNode node, String field) {
    problems.add("%s of %s cannot be read".formatted(field, nameOf(node)));
  }

  private static String nameOf(JsonNode node) {
    return node.path("name").asText();
  }

  private static JsonNode required(JsonNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null || value.isNull()) {
      throw new IllegalArgumentException("field " + field + " is missing");
    }
    return value;
  }
}

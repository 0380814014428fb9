package io.snipeloom.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.snipeloom.routing.ColdStartBounds;
import io.snipeloom.routing.LeaseTerms;
import io.snipeloom.routing.Places;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;

/**
 * The settings of an edge instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the name of the instance, unique in the fleet
 * @param zone the availability zone of the instance
 * @param callers the address on which the instance accepts requests of callers
 * @param readiness the address on which the load balancer probes readiness
 * @param metrics the address on which metrics are served
 * @param loans the address on which other instances borrow tokens
 * @param store the address of the store
 * @param storePartitions the number of partitions of the ledger and usage topics
 * @param retryRatio the number of retries that each request to a service allows
 * @param retrySlack the number of retries in a window that the whole fleet may send regardless of
 *     the number of requests
 * @param retryWindowSeconds the length of the retry window, in seconds
 * @param graceSeconds the time between the signal to stop and the kill, in seconds
 * @param places where the instance and the other availability zones are
 * @param coldStart the bounds on requests to cold replicas; empty if none are in force
 * @param memoryMegabytes the memory that the process may use; empty if it is not limited
 * @param leaseTerms how long the entries of replicas hold
 * @param linkMegabits what the network link carries in each direction, in megabits a second; empty
 *     if it is not known
 */
public record EdgeSettings(
    String instance,
    String zone,
    InetSocketAddress callers,
    InetSocketAddress readiness,
    InetSocketAddress metrics,
    InetSocketAddress loans,
    InetSocketAddress store,
    int storePartitions,
    double retryRatio,
    double retrySlack,
    double retryWindowSeconds,
    double graceSeconds,
    Places places,
    Optional<ColdStartBounds> coldStart,
    OptionalInt memoryMegabytes,
    LeaseTerms leaseTerms,
    OptionalDouble linkMegabits) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAX_PORT = 65_535;
  private static final double MAX_COLD_OVERSHOOT = 1_000;
  private static final double MIN_LINK_MEGABITS = 0.001;
  private static final double MAX_LINK_MEGABITS = 1e9;
  private static final int MAX_MEMORY_MEGABYTES = 16_777_216;
  private static final long MAX_HEARTBEAT_MILLIS = 3_600_000;

  /** How long entries hold if the settings do not say how far heartbeats are apart. */
  static final LeaseTerms DEFAULT_LEASE_TERMS = new LeaseTerms(1_200);

  private static final Set<String> FIELDS =
      Set.of(
          "instance",
          "zone",
          "callers",
          "readiness",
          "metrics",
          "loans",
          "store",
          "storePartitions",
          "retryRatio",
          "retrySlack",
          "retryWindowSeconds",
          "graceSeconds",
          "region",
          "regionsByZone",
          "coldOvershoot",
          "coldSlack",
          "memoryMegabytes",
          "heartbeatMillis",
          "linkMegabits");

  /**
   * Reads and validates a settings file in JSON.
   *
   * @throws SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} if the file cannot be read
   *     or a field is invalid; the message names every invalid field
   */
  public static EdgeSettings parse(Path file) {
    JsonNode root;
    try {
      root = MAPPER.readTree(Files.readAllBytes(file));
    } catch (IOException e) {
      throw invalid(file, e.getMessage()).withCause(e);
    }
    Reader reader = new Reader(root);
    EdgeSettings settings =
        new EdgeSettings(
            reader.text("instance"),
            reader.text("zone"),
            reader.address("callers"),
            reader.address("readiness"),
            reader.address("metrics"),
            reader.address("loans"),
            reader.address("store"),
            (int) reader.number("storePartitions", 1, 10_000),
            reader.number("retryRatio", 0, 10),
            reader.number("retrySlack", 0, 1e9),
            reader.number("retryWindowSeconds", 0.1, 3_600),
            reader.number("graceSeconds", 0.5, 3_600),
            reader.places(),
            reader.coldStart(),
            reader.memoryMegabytes(),
            reader.leaseTerms(),
            reader.linkMegabits());
    reader.rejectUnknownFields();
    if (!reader.errors.isEmpty()) {
      throw invalid(file, String.join("; ", reader.errors));
    }
    return settings;
  }

  private static SnipeloomException invalid(Path file, String problems) {
    return SnipeloomException.of(ErrorCode.INVALID_SETTINGS, file + ": " + problems)
        .withOrigin("settings", "");
  }

  /** Reads typed fields and collects an error message for each invalid one. */
  private static final class Reader {
    private final JsonNode root;
    private final List<String> errors = new ArrayList<>();

    Reader(JsonNode root) {
      this.root = root;
    }

    String text(String field) {
      JsonNode value = root.path(field);
      if (!value.isTextual() || value.asText().isBlank()) {
        errors.add(field + " must be a non-blank string");
        return "";
      }
      return value.asText();
    }

    double number(String field, double min, double max) {
      JsonNode value = root.path(field);
      if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
        errors.add("%s must be a number from %s to %s".formatted(field, min, max));
        return min;
      }
      return value.asDouble();
    }

    InetSocketAddress address(String field) {
      String value = root.path(field).asText();
      int colon = value.lastIndexOf(':');
      try {
        int port = Integer.parseInt(value.substring(colon + 1));
        if (colon > 0 && port > 0 && port <= MAX_PORT) {
          return new InetSocketAddress(value.substring(0, colon), port);
        }
      } catch (NumberFormatException e) {
        // Falls through to the error message below.
      }
      errors.add(field + " must be an address of the form host:port");
      return InetSocketAddress.createUnresolved("none", 1);
    }

    Places places() {
      if (!root.has("region") && !root.has("regionsByZone")) {
        return Places.UNKNOWN;
      }
      String region = text("region");
      Map<String, String> regions = new HashMap<>();
      JsonNode zones = root.path("regionsByZone");
      zones.properties().forEach(zone -> regions.put(zone.getKey(), zone.getValue().asText()));
      if (!zones.isObject() || regions.containsValue("")) {
        errors.add("regionsByZone must be an object of non-blank strings");
      }
      return new Places(region, regions);
    }

    Optional<ColdStartBounds> coldStart() {
      if (!root.has("coldOvershoot") && !root.has("coldSlack")) {
        return Optional.empty();
      }
      return Optional.of(
          new ColdStartBounds(
              number("coldOvershoot", 1, MAX_COLD_OVERSHOOT), number("coldSlack", 0, 1e9)));
    }

    OptionalInt memoryMegabytes() {
      return root.has("memoryMegabytes")
          ? OptionalInt.of((int) number("memoryMegabytes", 1, MAX_MEMORY_MEGABYTES))
          : OptionalInt.empty();
    }

    LeaseTerms leaseTerms() {
      return root.has("heartbeatMillis")
          ? new LeaseTerms((long) number("heartbeatMillis", 1, MAX_HEARTBEAT_MILLIS))
          : DEFAULT_LEASE_TERMS;
    }

    OptionalDouble linkMegabits() {
      return root.has("linkMegabits")
          ? OptionalDouble.of(number("linkMegabits", MIN_LINK_MEGABITS, MAX_LINK_MEGABITS))
          : OptionalDouble.empty();
    }

    void rejectUnknownFields() {
      Iterator<String> names = root.fieldNames();
      while (names.hasNext()) {
        String name = names.next();
        if (!FIELDS.contains(name)) {
          errors.add(name + " is not a known field");
        }
      }
    }
  }
}

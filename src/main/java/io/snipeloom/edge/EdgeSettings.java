package io.snipeloom.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * The settings of an edge instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the name of the instance
 * @param zone its availability zone
 * @param callers where callers connect
 * @param readiness where the balancer asks whether the instance is ready
 * @param metrics where metrics are served
 * @param loans where other instances ask for tokens
 * @param store the address of the store
 * @param storePartitions the partitions of a topic
 * @param retryRatio the repeats that each request to a service allows
 * @param retrySlack the repeats of the whole fleet in a window that need no request
 * @param retryWindowSeconds the length of the window, in seconds
 * @param graceSeconds the time between the request to stop and the kill, in seconds
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
    double graceSeconds) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAX_PORT = 65_535;

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
          "graceSeconds");

  /**
   * Reads and checks a settings file.
   *
   * @param file the JSON file
   * @return the settings
   * @throws SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} that names each wrong field
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
            reader.number("graceSeconds", 0.5, 3_600));
    reader.refuseUnknown();
    if (!reader.wrong.isEmpty()) {
      throw invalid(file, String.join("; ", reader.wrong));
    }
    return settings;
  }

  private static SnipeloomException invalid(Path file, String places) {
    return SnipeloomException.of(ErrorCode.INVALID_SETTINGS, file + ": " + places)
        .withOrigin("settings", "");
  }

  /** Reads fields and collects what is wrong with them. */
  private static final class Reader {
    private final JsonNode root;
    private final List<String> wrong = new ArrayList<>();

    Reader(JsonNode root) {
      this.root = root;
    }

    String text(String field) {
      JsonNode value = root.path(field);
      if (!value.isTextual() || value.asText().isBlank()) {
        wrong.add(field + " must be a text");
        return "";
      }
      return value.asText();
    }

    double number(String field, double least, double most) {
      JsonNode value = root.path(field);
      if (!value.isNumber() || value.asDouble() < least || value.asDouble() > most) {
        wrong.add("%s must be a number from %s to %s".formatted(field, least, most));
        return least;
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
        // Reported below with the other malformed addresses.
      }
      wrong.add(field + " must be an address with a port");
      return InetSocketAddress.createUnresolved("none", 1);
    }

    void refuseUnknown() {
      Iterator<String> names = root.fieldNames();
      while (names.hasNext()) {
        String name = names.next();
        if (!FIELDS.contains(name)) {
          wrong.add(name + " is unknown");
        }
      }
    }
  }
}

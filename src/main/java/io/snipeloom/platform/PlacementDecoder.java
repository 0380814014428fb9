package io.snipeloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.snipeloom.routing.ColdStart;
import io.snipeloom.routing.Homes;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decodes what a configuration says of homes and cold starts. What cannot be read is taken for the
 * strictest that it may mean.
 *
 * <p>Stateless and thread-safe.
 */
final class PlacementDecoder {
  private static final String ALLOWED_REGIONS = "allowedRegions";
  private static final String COLD_SECONDS = "coldStartS";
  private static final String COLD_PER_SECOND = "coldPerS";

  private PlacementDecoder() {}

  /** Returns the values of a configuration that cannot be read. */
  static List<String> problems(JsonNode root) {
    List<String> problems = new ArrayList<>();
    for (String list : List.of("routes", "tenants")) {
      for (JsonNode node : root.path(list)) {
        JsonNode regions = node.path(ALLOWED_REGIONS);
        if (!isAbsent(regions) && !isListOfTexts(regions)) {
          problems.add(problem(node, ALLOWED_REGIONS));
        }
      }
    }
    for (JsonNode node : root.path("services")) {
      for (String field : List.of(COLD_SECONDS, COLD_PER_SECOND)) {
        JsonNode value = node.path(field);
        if (!isAbsent(value) && (!value.isNumber() || value.asDouble() < 0)) {
          problems.add(problem(node, field));
        }
      }
    }
    return problems;
  }

  private static String problem(JsonNode node, String field) {
    return field + " of " + node.path("name").asText() + " cannot be read";
  }

  private static boolean isAbsent(JsonNode value) {
    return value.isMissingNode() || value.isNull();
  }

  private static boolean isListOfTexts(JsonNode value) {
    boolean texts = value.isArray();
    for (JsonNode element : value) {
      texts &= element.isTextual();
    }
    return texts;
  }

  /** Decodes the homes of a route or a customer. */
  static Homes homes(JsonNode node) {
    JsonNode regions = node.get(ALLOWED_REGIONS);
    if (regions == null || regions.isNull()) {
      return Homes.EVERYWHERE;
    }
    if (!regions.isArray()) {
      return Homes.NOWHERE;
    }
    Set<String> names = new HashSet<>();
    for (JsonNode region : regions) {
      if (region.isTextual()) {
        names.add(region.asText());
      }
    }
    return regions.isEmpty() ? Homes.EVERYWHERE : Homes.of(names);
  }

  /** Decodes how the replicas of a service are after a start. */
  static ColdStart coldStart(JsonNode node) {
    return ColdStart.of(number(node.get(COLD_SECONDS)), number(node.get(COLD_PER_SECOND)));
  }

  /** Returns the number, 0 if it is missing, NaN if it is none. */
  private static double number(JsonNode value) {
    if (value == null || value.isNull()) {
      return 0;
    }
    return value.isNumber() ? value.asDouble() : Double.NaN;
  }
}

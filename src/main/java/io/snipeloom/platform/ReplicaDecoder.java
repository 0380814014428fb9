package io.snipeloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.snipeloom.routing.ColdReport;
import io.snipeloom.routing.Replica;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaState;
import io.snipeloom.routing.SocketAddresses;
import io.snipeloom.routing.SoftwareVersion;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Decodes the entries by which replicas register in the store, which are JSON. Unknown fields are
 * ignored.
 *
 * <p>Stateless and thread-safe.
 */
public final class ReplicaDecoder {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ReplicaDecoder() {}

  /**
   * Decodes and validates an entry.
   *
   * @param id the key of the entry, which is the replica's ID
   * @param entry the value of the entry
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the entry is not valid
   *     JSON, lacks a required field or has a value out of range
   */
  public static Replica decode(String id, byte[] entry) {
    try {
      JsonNode node = MAPPER.readTree(entry);
      return new Replica(
          new ReplicaId(id),
          whole(node, "born"),
          text(node, "service"),
          address(text(node, "address")),
          new SoftwareVersion(text(node, "version")),
          text(node, "zone"),
          slots(node),
          state(text(node, "state")),
          cold(node.get("coldRemainingMs")),
          whole(node, "sequence"));
    } catch (IOException | RuntimeException | StackOverflowError e) {
      throw SnipeloomException.of(
              ErrorCode.MALFORMED_RECORD, "invalid entry of replica " + id + ": " + e.getMessage())
          .withCause(e);
    }
  }

  private static int slots(JsonNode node) {
    JsonNode slots = node.path("slots");
    if (!slots.isIntegralNumber() || !slots.canConvertToInt()) {
      throw new IllegalArgumentException("field slots is missing, not an integer or too large");
    }
    return slots.asInt();
  }

  /** Returns a whole number, 0 if it is missing. */
  private static long whole(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (value.isMissingNode()) {
      return 0;
    }
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new IllegalArgumentException("field " + field + " is not an integer or too large");
    }
    return value.asLong();
  }

  private static ColdReport cold(JsonNode value) {
    if (value == null || value.isNull()) {
      return ColdReport.NONE;
    }
    return value.isNumber() ? ColdReport.of(value.asDouble()) : ColdReport.UNREADABLE;
  }

  private static ReplicaState state(String text) {
    return switch (text) {
      case "ready" -> ReplicaState.READY;
      case "draining" -> ReplicaState.DRAINING;
      default -> throw new IllegalArgumentException("unknown replica state: " + text);
    };
  }

  private static InetSocketAddress address(String text) {
    return SocketAddresses.parse(text)
        .orElseThrow(
            () -> new IllegalArgumentException("address is not an IPv4 address with a port"));
  }

  private static String text(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isTextual()) {
      throw new IllegalArgumentException("field " + field + " is missing or not a string");
    }
    return value.asText();
  }
}

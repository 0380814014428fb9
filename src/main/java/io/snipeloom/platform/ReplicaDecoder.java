package io.snipeloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.snipeloom.routing.Replica;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaState;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Decodes the entries that replicas write about themselves.
 *
 * <p>Thread-safe, without state. Unknown fields are ignored.
 */
public final class ReplicaDecoder {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ReplicaDecoder() {}

  /**
   * Decodes an entry.
   *
   * @param id the key of the entry
   * @param entry the bytes of the entry
   * @return the replica
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the entry cannot be read
   *     or names impossible values
   */
  public static Replica decode(String id, byte[] entry) {
    try {
      JsonNode node = MAPPER.readTree(entry);
      return new Replica(
          new ReplicaId(id),
          node.path("born").asLong(0),
          text(node, "service"),
          address(text(node, "address")),
          text(node, "zone"),
          slots(node),
          state(text(node, "state")));
    } catch (IOException | IllegalArgumentException e) {
      throw SnipeloomException.of(
              ErrorCode.MALFORMED_RECORD, "entry of replica " + id + ": " + e.getMessage())
          .withCause(e);
    }
  }

  private static int slots(JsonNode node) {
    JsonNode slots = node.path("slots");
    if (!slots.isIntegralNumber()) {
      throw new IllegalArgumentException("slots is no whole number");
    }
    return slots.asInt();
  }

  private static ReplicaState state(String text) {
    return switch (text) {
      case "ready" -> ReplicaState.READY;
      case "draining" -> ReplicaState.DRAINING;
      default -> throw new IllegalArgumentException("unknown state " + text);
    };
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    String host = text.substring(0, Math.max(0, colon));
    if (!host.matches("[0-9]+(\\.[0-9]+){3}")) {
      throw new IllegalArgumentException("address is not an IP address with a port");
    }
    return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
  }

  private static String text(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isTextual()) {
      throw new IllegalArgumentException("field " + field + " is missing or no text");
    }
    return value.asText();
  }
}

package io.snipeloom.daemon;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.ModelId;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * A checked chat completions request.
 *
 * <p>Immutable and thread-safe.
 */
final class ChatRequest {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION).build();
  private static final int TOKENS_PER_MESSAGE = 16;
  private static final int TOKENS_PER_REQUEST = 64;

  private final ObjectNode body;
  private final ModelId model;
  private final boolean stream;
  private final boolean usageWanted;
  private final long maxTokens;

  private ChatRequest(
      ObjectNode body, ModelId model, boolean stream, boolean usageWanted, long maxTokens) {
    this.body = body;
    this.model = model;
    this.stream = stream;
    this.usageWanted = usageWanted;
    this.maxTokens = maxTokens;
  }

  /**
   * Parses a request.
   *
   * @param bytes the body
   * @return the request
   * @throws SnipeloomException with {@link ErrorCode#INVALID_REQUEST} that names the wrong place
   */
  static ChatRequest parse(byte[] bytes) {
    JsonNode tree = readTree(bytes);
    if (!(tree instanceof ObjectNode object)) {
      throw invalid("", "must be an object");
    }
    JsonNode messages = object.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw invalid("/messages", "must be an array with at least one message");
    }
    if (!object.path("model").isTextual()) {
      throw invalid("/model", "must be a text");
    }
    if (object.path("n").asInt(1) != 1) {
      throw invalid("/n", "must be 1");
    }
    if (object.has("stream") && !object.get("stream").isBoolean()) {
      throw invalid("/stream", "must be true or false");
    }
    return new ChatRequest(
        object,
        ModelId.of(object.get("model").textValue()),
        object.path("stream").asBoolean(false),
        object.path("stream_options").path("include_usage").asBoolean(false),
        maxTokens(object));
  }

  private static JsonNode readTree(byte[] bytes) {
    try {
      return MAPPER.readTree(bytes);
    } catch (IOException e) {
      throw invalid("", "is not JSON: " + e.getMessage());
    }
  }

  private static long maxTokens(ObjectNode object) {
    long most = Long.MAX_VALUE;
    for (String name : new String[] {"max_tokens", "max_completion_tokens"}) {
      JsonNode value = object.path(name);
      if (value.isMissingNode() || value.isNull()) {
        continue;
      }
      if (!value.canConvertToLong() || !value.isIntegralNumber() || value.longValue() < 1) {
        throw invalid("/" + name, "must be a whole number of at least 1");
      }
      most = Math.min(most, value.longValue());
    }
    return most;
  }

  private static SnipeloomException invalid(String pointer, String message) {
    return SnipeloomException.of(ErrorCode.INVALID_REQUEST, "body" + pointer + " " + message)
        .withOrigin("parse", "");
  }

  ModelId model() {
    return model;
  }

  boolean isStream() {
    return stream;
  }

  boolean isUsageWanted() {
    return usageWanted;
  }

  /**
   * Returns the most output tokens.
   *
   * @param classLimit the limit of the request class
   * @return the lesser of the limit and what the request asks for
   */
  long maxOutputTokens(long classLimit) {
    return Math.min(maxTokens, classLimit);
  }

  /**
   * Returns the most tokens that the prompt can have: a byte-level vocabulary has no token shorter
   * than a byte.
   *
   * @return the upper bound
   */
  long promptUpperBoundTokens() {
    long bytes = body.toString().getBytes(StandardCharsets.UTF_8).length;
    return bytes + (long) TOKENS_PER_MESSAGE * body.path("messages").size() + TOKENS_PER_REQUEST;
  }

  /**
   * Returns the prompt as bytes, for the hash chain of its prefix.
   *
   * @return the messages in order
   */
  byte[] promptBytes() {
    return body.path("messages").toString().getBytes(StandardCharsets.UTF_8);
  }
}

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
 * A validated chat completions request.
 *
 * <p>Immutable and thread-safe.
 */
final class ChatRequest {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION).build();
  private static final int MESSAGE_OVERHEAD_TOKENS = 16;
  private static final int REQUEST_OVERHEAD_TOKENS = 64;

  private final ObjectNode body;
  private final ModelId model;
  private final boolean stream;
  private final boolean usageRequested;
  private final long maxTokens;

  private ChatRequest(
      ObjectNode body, ModelId model, boolean stream, boolean usageRequested, long maxTokens) {
    this.body = body;
    this.model = model;
    this.stream = stream;
    this.usageRequested = usageRequested;
    this.maxTokens = maxTokens;
  }

  /**
   * Parses and validates a request.
   *
   * @param bytes the body
   * @throws SnipeloomException with {@link ErrorCode#INVALID_REQUEST} and the path of the invalid
   *     field if the body is not a valid request
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
      throw invalid("/model", "must be a string");
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
    long limit = Long.MAX_VALUE;
    for (String name : new String[] {"max_tokens", "max_completion_tokens"}) {
      JsonNode value = object.path(name);
      if (value.isMissingNode() || value.isNull()) {
        continue;
      }
      if (!value.canConvertToLong() || !value.isIntegralNumber() || value.longValue() < 1) {
        throw invalid("/" + name, "must be an integer of at least 1");
      }
      limit = Math.min(limit, value.longValue());
    }
    return limit;
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

  boolean isUsageRequested() {
    return usageRequested;
  }

  /**
   * Returns the maximum number of output tokens.
   *
   * @param classLimit the maximum that the request class allows
   * @return the smaller of that maximum and the one given in the request
   */
  long maxOutputTokens(long classLimit) {
    return Math.min(maxTokens, classLimit);
  }

  /**
   * Returns an upper bound of the number of tokens in the prompt. The number of bytes is such a
   * bound because no token of a byte-level vocabulary is shorter than a byte; a fixed overhead for
   * each message and for the request is added to it.
   */
  long promptUpperBoundTokens() {
    long bytes = body.toString().getBytes(StandardCharsets.UTF_8).length;
    return bytes
        + (long) MESSAGE_OVERHEAD_TOKENS * body.path("messages").size()
        + REQUEST_OVERHEAD_TOKENS;
  }

  /**
   * Returns the bytes of the prompt from which the hash chain of its prefixes is computed.
   *
   * @return the messages in JSON, in order
   */
  byte[] promptBytes() {
    return body.path("messages").toString().getBytes(StandardCharsets.UTF_8);
  }
}

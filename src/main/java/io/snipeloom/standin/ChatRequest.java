package io.snipeloom.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.snipeloom.client.PrefixHashes;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.StringJoiner;

/**
 * The fields of a chat completion request that the engine uses.
 *
 * @param prompt the contents of all messages, separated by line feeds
 * @param prefixes the prefix hashes of the messages, in hexadecimal
 * @param stream whether the answer is streamed
 * @param includeUsage whether a stream ends with an event that contains the token usage
 * @param maxTokens the maximum number of tokens in the answer; 0 if unlimited
 * @param priority the queue priority; lower values run first
 */
record ChatRequest(
    String model,
    String prompt,
    List<String> prefixes,
    boolean stream,
    boolean includeUsage,
    int maxTokens,
    int priority) {

  private static final int MAX_BLOCKS = 1024;

  /** Parses and validates a request body. */
  static ChatRequest parse(byte[] body) {
    JsonNode root = StandinJson.read(body, JsonNode.class);
    if (!root.path("model").isTextual()) {
      throw invalid("/model must be a string");
    }
    return new ChatRequest(
        root.path("model").asText(),
        prompt(root.path("messages")),
        prefixes(root.path("messages")),
        root.path("stream").asBoolean(false),
        root.path("stream_options").path("include_usage").asBoolean(false),
        maxTokens(root),
        root.path("priority").asInt(0));
  }

  private static String prompt(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      throw invalid("/messages must be a non-empty list");
    }
    StringJoiner prompt = new StringJoiner("\n");
    for (int i = 0; i < messages.size(); i++) {
      prompt.add(content(messages.get(i).path("content"), "/messages/" + i + "/content"));
    }
    return prompt.toString();
  }

  private static List<String> prefixes(JsonNode messages) {
    byte[] text = messages.toString().getBytes(StandardCharsets.UTF_8);
    return List.of(PrefixHashes.toHexStrings(PrefixHashes.of(text, MAX_BLOCKS)));
  }

  private static String content(JsonNode content, String pointer) {
    if (content.isTextual()) {
      return content.asText();
    }
    if (!content.isArray()) {
      throw invalid(pointer + " must be a string or a list");
    }
    StringJoiner parts = new StringJoiner("\n");
    for (JsonNode part : content) {
      parts.add(part.path("text").asText(""));
    }
    return parts.toString();
  }

  private static int maxTokens(JsonNode root) {
    String field = root.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    JsonNode value = root.path(field);
    if (value.isMissingNode() || value.isNull()) {
      return 0;
    }
    if (!value.canConvertToInt() || value.asInt() < 1) {
      throw invalid("/" + field + " must be a positive integer");
    }
    return value.asInt();
  }

  private static SnipeloomException invalid(String message) {
    return SnipeloomException.of(ErrorCode.INVALID_REQUEST, message);
  }
}

package io.snipeloom.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;

/**
 * Joins the chunks of a chat completion stream into one chat completion.
 *
 * <p>Not thread-safe. Add the chunks in order, then call {@link #build}.
 */
final class ChatAssembler {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private final StringBuilder content = new StringBuilder();
  private final StringBuilder refusal = new StringBuilder();
  private final ArrayNode toolCalls = NODES.arrayNode();
  private JsonNode finishReason = NODES.nullNode();
  private JsonNode usage;
  private ObjectNode first;

  /**
   * Adds a chunk.
   *
   * @param data the chunk in JSON
   * @throws SnipeloomException with {@link ErrorCode#UPSTREAM_FAILED} if the chunk is malformed
   */
  void add(byte[] data) {
    JsonNode chunk = parse(data);
    if (first == null && chunk.isObject()) {
      first = (ObjectNode) chunk;
    }
    if (chunk.path("usage").isObject()) {
      usage = chunk.get("usage");
    }
    JsonNode choice = chunk.path("choices").path(0);
    if (choice.hasNonNull("finish_reason")) {
      finishReason = choice.get("finish_reason");
    }
    addDelta(choice.path("delta"));
  }

  private void addDelta(JsonNode delta) {
    if (delta.hasNonNull("content")) {
      content.append(delta.get("content").asText());
    }
    if (delta.hasNonNull("refusal")) {
      refusal.append(delta.get("refusal").asText());
    }
    delta.path("tool_calls").forEach(this::addToolCall);
  }

  private void addToolCall(JsonNode part) {
    int index = part.path("index").asInt(toolCalls.size());
    while (toolCalls.size() <= index) {
      toolCalls.addObject().put("id", "").put("type", "function").putObject("function");
    }
    ObjectNode call = (ObjectNode) toolCalls.get(index);
    if (part.hasNonNull("id")) {
      call.put("id", part.get("id").asText());
    }
    ObjectNode function = (ObjectNode) call.get("function");
    for (String field : new String[] {"name", "arguments"}) {
      String more = part.path("function").path(field).asText("");
      function.put(field, function.path(field).asText("") + more);
    }
  }

  /**
   * Builds the completion.
   *
   * @param end the end of the answer, which supplies the usage if the engine reported none
   * @return the completion in JSON
   */
  byte[] build(Message.AnswerEnd end) {
    ObjectNode completion = NODES.objectNode();
    JsonNode source = first == null ? NODES.objectNode() : first;
    completion.set("id", source.path("id"));
    completion.put("object", "chat.completion");
    completion.put("created", source.path("created").asLong());
    completion.put("model", source.path("model").asText());
    ObjectNode choice = completion.putArray("choices").addObject();
    choice.put("index", 0);
    choice.set("message", message());
    choice.putNull("logprobs");
    choice.set("finish_reason", finishReason);
    completion.set("usage", usage == null ? usageOf(end) : usage);
    try {
      return MAPPER.writeValueAsBytes(completion);
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot write the completion").withCause(e);
    }
  }

  private ObjectNode message() {
    ObjectNode message = NODES.objectNode();
    message.put("role", "assistant");
    if (content.length() > 0 || toolCalls.isEmpty()) {
      message.put("content", content.toString());
    } else {
      message.putNull("content");
    }
    if (refusal.length() > 0) {
      message.put("refusal", refusal.toString());
    } else {
      message.putNull("refusal");
    }
    if (!toolCalls.isEmpty()) {
      message.set("tool_calls", toolCalls);
    }
    return message;
  }

  private static ObjectNode usageOf(Message.AnswerEnd end) {
    return NODES
        .objectNode()
        .put("prompt_tokens", end.promptTokens())
        .put("completion_tokens", end.outputTokens())
        .put("total_tokens", end.promptTokens() + end.outputTokens());
  }

  private static JsonNode parse(byte[] data) {
    try {
      return MAPPER.readTree(data);
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.UPSTREAM_FAILED, "the engine sent a malformed chunk")
          .withRunState(RunState.RAN)
          .withCause(e);
    }
  }
}

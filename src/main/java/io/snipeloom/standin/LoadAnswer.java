package io.snipeloom.standin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Collects one answer and checks that it is complete and belongs to its prompt. Not thread-safe;
 * used by one request.
 */
final class LoadAnswer {
  private static final String DONE = "[DONE]";

  private final AnswerText expected;
  private final StringBuilder text = new StringBuilder();

  private boolean hasFinishReason;
  private boolean endReached;
  private int outputTokens;

  LoadAnswer(String prompt) {
    this.expected = AnswerText.of(prompt);
  }

  /** Adds the data of a server-sent event and returns whether it contained text. */
  boolean addEvent(byte[] data) {
    if (data.length == DONE.length() && data[0] == '[') {
      endReached = true;
      return false;
    }
    JsonNode event = StandinJson.read(data, JsonNode.class);
    JsonNode choice = event.path("choices").path(0);
    addFinishAndUsage(event, choice);
    String content = choice.path("delta").path("content").asText("");
    text.append(content);
    return !content.isEmpty();
  }

  /** Adds the body of a non-streamed response. */
  void addCompletion(byte[] data) {
    JsonNode body = StandinJson.read(data, JsonNode.class);
    JsonNode choice = body.path("choices").path(0);
    addFinishAndUsage(body, choice);
    text.append(choice.path("message").path("content").asText(""));
    endReached = true;
  }

  private void addFinishAndUsage(JsonNode body, JsonNode choice) {
    hasFinishReason |= choice.path("finish_reason").isTextual();
    outputTokens = body.path("usage").path("completion_tokens").asInt(outputTokens);
  }

  /** Returns whether the answer is complete and equals the expected answer to its prompt. */
  boolean isComplete() {
    return hasFinishReason
        && endReached
        && outputTokens > 0
        && expected.text(outputTokens).contentEquals(text);
  }

  int outputTokens() {
    return outputTokens;
  }
}

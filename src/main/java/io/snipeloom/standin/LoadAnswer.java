package io.snipeloom.standin;

import com.fasterxml.jackson.databind.JsonNode;

/** Collects one answer and checks that it is whole and its own. Confined to one request. */
final class LoadAnswer {
  private static final String DONE = "[DONE]";

  private final AnswerText expected;
  private final StringBuilder text = new StringBuilder();

  private boolean finished;
  private boolean done;
  private int outputTokens;

  LoadAnswer(String prompt) {
    this.expected = AnswerText.of(prompt);
  }

  /** Takes the data of an event and returns whether it held text. */
  boolean addEvent(byte[] data) {
    if (data.length == DONE.length() && data[0] == '[') {
      done = true;
      return false;
    }
    JsonNode event = StandinJson.read(data, JsonNode.class);
    JsonNode choice = event.path("choices").path(0);
    addEnd(event, choice);
    String content = choice.path("delta").path("content").asText("");
    text.append(content);
    return !content.isEmpty();
  }

  /** Takes an answer that is not streamed. */
  void addWhole(byte[] data) {
    JsonNode body = StandinJson.read(data, JsonNode.class);
    JsonNode choice = body.path("choices").path(0);
    addEnd(body, choice);
    text.append(choice.path("message").path("content").asText(""));
    done = true;
  }

  private void addEnd(JsonNode body, JsonNode choice) {
    finished |= choice.path("finish_reason").isTextual();
    outputTokens = body.path("usage").path("completion_tokens").asInt(outputTokens);
  }

  /** Returns whether all parts of the answer came and are those of its prompt. */
  boolean isWhole() {
    return finished && done && outputTokens > 0 && expected.text(outputTokens).contentEquals(text);
  }

  int outputTokens() {
    return outputTokens;
  }
}

package io.snipeloom.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Serializes the answer to one request in the chat completion format. */
final class ChatWriter {
  private static final String ROLE = "assistant";

  private final Generation generation;
  private final long created;

  ChatWriter(Generation generation, long created) {
    this.generation = generation;
    this.created = created;
  }

  /** Returns the stream event for a token. */
  String token(int index, String text) {
    return chunk(List.of(Choice.delta(new Content(index == 0 ? ROLE : null, text), null)), null);
  }

  /** Returns the stream event with the finish reason. */
  String finish(FinishReason reason) {
    return chunk(List.of(Choice.delta(new Content(null, null), reason.text())), null);
  }

  /** Returns the stream event with the token usage. */
  String usage(int outputTokens) {
    return chunk(List.of(), usageOf(outputTokens));
  }

  /** Returns the body of a non-streamed response. */
  byte[] completion(String text, FinishReason reason, int outputTokens) {
    Choice choice = Choice.message(new Content(ROLE, text), reason.text());
    return StandinJson.write(
        new Completion(
            generation.id(),
            "chat.completion",
            created,
            generation.request().model(),
            List.of(choice),
            usageOf(outputTokens)));
  }

  private String chunk(List<Choice> choices, Usage usage) {
    Completion chunk =
        new Completion(
            generation.id(),
            "chat.completion.chunk",
            created,
            generation.request().model(),
            choices,
            usage);
    return new String(StandinJson.write(chunk), StandardCharsets.UTF_8);
  }

  private Usage usageOf(int outputTokens) {
    int prompt = generation.promptTokens();
    return new Usage(prompt, outputTokens, prompt + outputTokens);
  }

  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record Completion(
      String id, String object, long created, String model, List<Choice> choices, Usage usage) {}

  private record Choice(
      int index,
      @JsonInclude(JsonInclude.Include.NON_NULL) Content message,
      @JsonInclude(JsonInclude.Include.NON_NULL) Content delta,
      @JsonProperty("finish_reason") String finishReason) {

    static Choice message(Content content, String finishReason) {
      return new Choice(0, content, null, finishReason);
    }

    static Choice delta(Content content, String finishReason) {
      return new Choice(0, null, content, finishReason);
    }
  }

  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record Content(String role, String content) {}

  private record Usage(
      @JsonProperty("prompt_tokens") int promptTokens,
      @JsonProperty("completion_tokens") int completionTokens,
      @JsonProperty("total_tokens") int totalTokens) {}
}

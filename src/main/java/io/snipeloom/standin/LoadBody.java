package io.snipeloom.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The body of a chat completion request.
 *
 * @param model the model
 * @param messages the messages
 * @param maxTokens the most tokens of the answer
 * @param stream whether the answer is streamed
 * @param streamOptions what a stream ends with; null if not streamed
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record LoadBody(
    String model,
    List<Message> messages,
    @JsonProperty("max_tokens") int maxTokens,
    boolean stream,
    @JsonProperty("stream_options") StreamOptions streamOptions) {

  /** Returns the body for a prompt. */
  static LoadBody of(LoadPlan plan, String prompt) {
    return new LoadBody(
        plan.model(),
        List.of(new Message("user", prompt)),
        plan.maxTokens(),
        plan.stream(),
        plan.stream() ? new StreamOptions(true) : null);
  }

  /** A message. */
  record Message(String role, String content) {}

  /** What a stream ends with. */
  record StreamOptions(@JsonProperty("include_usage") boolean includeUsage) {}
}

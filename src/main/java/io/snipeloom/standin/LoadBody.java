package io.snipeloom.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The body of a chat completion request of the load generator.
 *
 * @param maxTokens the maximum number of tokens in the answer
 * @param stream whether the answer is streamed
 * @param streamOptions the options of a stream; null if the answer is not streamed
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record LoadBody(
    String model,
    List<Message> messages,
    @JsonProperty("max_tokens") int maxTokens,
    boolean stream,
    @JsonProperty("stream_options") StreamOptions streamOptions) {

  /** Returns the request body for a prompt. */
  static LoadBody of(LoadPlan plan, String prompt) {
    return new LoadBody(
        plan.model(),
        List.of(new Message("user", prompt)),
        plan.maxTokens(),
        plan.stream(),
        plan.stream() ? new StreamOptions(true) : null);
  }

  /** A chat message. */
  record Message(String role, String content) {}

  /** The options of a stream. */
  record StreamOptions(@JsonProperty("include_usage") boolean includeUsage) {}
}

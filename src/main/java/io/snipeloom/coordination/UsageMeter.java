package io.snipeloom.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/**
 * Measures the tokens that one attempt consumes.
 *
 * <p>Uses the usage that the engine reports. If it reports none, each event with content counts as
 * one output token, and the prompt counts with its upper bound. Performs no I/O. Not thread-safe.
 */
final class UsageMeter {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final long reservedTokens;
  private final long maxPromptTokens;
  private long countedOutputTokens;
  private long reportedPromptTokens;
  private long reportedOutputTokens;
  private boolean reported;
  private boolean noUsage;

  private UsageMeter(long reservedTokens, long maxPromptTokens) {
    this.reservedTokens = reservedTokens;
    this.maxPromptTokens = maxPromptTokens;
  }

  /** Returns a meter for the answer of a model engine. */
  static UsageMeter ofTokens(long reservedTokens, long maxOutputTokens) {
    return new UsageMeter(reservedTokens, Math.max(0, reservedTokens - maxOutputTokens));
  }

  /** Returns a meter for a call that consumes exactly the reserved tokens. */
  static UsageMeter ofPrice(long reservedTokens) {
    return new UsageMeter(reservedTokens, reservedTokens);
  }

  /** Adds one event of the answer of a model engine. */
  void addEvent(byte[] data) {
    JsonNode event = parse(data);
    if (hasContent(event)) {
      countedOutputTokens++;
    }
    JsonNode usage = event.path("usage");
    if (usage.isObject()) {
      reported = true;
      reportedPromptTokens = Math.max(0, usage.path("prompt_tokens").asLong());
      reportedOutputTokens = Math.max(0, usage.path("completion_tokens").asLong());
    }
  }

  /** Records that the back end did no work, so that no tokens are consumed. */
  void setNoUsage() {
    noUsage = true;
  }

  boolean exceedsReservation() {
    return promptTokens() + outputTokens() > reservedTokens;
  }

  long promptTokens() {
    return noUsage ? 0 : reported ? reportedPromptTokens : maxPromptTokens;
  }

  long outputTokens() {
    return noUsage ? 0 : reported ? Math.max(reportedOutputTokens, 0) : countedOutputTokens;
  }

  /** Returns the tokens to settle, which never exceed the reservation. */
  long consumedTokens() {
    return Math.min(reservedTokens, promptTokens() + outputTokens());
  }

  private static JsonNode parse(byte[] data) {
    try {
      return JSON.readTree(data);
    } catch (IOException e) {
      return JSON.missingNode();
    }
  }

  private static boolean hasContent(JsonNode event) {
    for (JsonNode choice : event.path("choices")) {
      for (var field : choice.path("delta").properties()) {
        boolean empty = field.getValue().isNull() || field.getValue().asText("x").isEmpty();
        if (!field.getKey().equals("role") && !empty) {
          return true;
        }
      }
    }
    return false;
  }
}

package io.snipeloom.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/**
 * Counts the tokens that one attempt consumes.
 *
 * <p>The usage that the engine states counts; without it, each event with content counts as one
 * output token and the prompt at its upper bound. Pure and not thread-safe.
 */
final class UsageMeter {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final long reservedTokens;
  private final long promptBound;
  private long countedOutput;
  private long statedPrompt;
  private long statedOutput;
  private boolean stated;
  private boolean free;

  private UsageMeter(long reservedTokens, long promptBound) {
    this.reservedTokens = reservedTokens;
    this.promptBound = promptBound;
  }

  /** Returns a meter for a model engine's answer. */
  static UsageMeter ofTokens(long reservedTokens, long maxOutputTokens) {
    return new UsageMeter(reservedTokens, Math.max(0, reservedTokens - maxOutputTokens));
  }

  /** Returns a meter for a call with a fixed price. */
  static UsageMeter ofPrice(long reservedTokens) {
    return new UsageMeter(reservedTokens, reservedTokens);
  }

  /** Counts one event of a model engine. */
  void addEvent(byte[] data) {
    JsonNode event = parse(data);
    if (hasContent(event)) {
      countedOutput++;
    }
    JsonNode usage = event.path("usage");
    if (usage.isObject()) {
      stated = true;
      statedPrompt = Math.max(0, usage.path("prompt_tokens").asLong());
      statedOutput = Math.max(0, usage.path("completion_tokens").asLong());
    }
  }

  /** Notes that the back end did no work. */
  void setFree() {
    free = true;
  }

  boolean isOverReservation() {
    return promptTokens() + outputTokens() > reservedTokens;
  }

  long promptTokens() {
    return free ? 0 : stated ? statedPrompt : promptBound;
  }

  long outputTokens() {
    return free ? 0 : stated ? Math.max(statedOutput, 0) : countedOutput;
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

package io.snipeloom.standin;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.net.URI;
import java.time.Duration;
import java.util.regex.Pattern;

/**
 * The parameters of a load run.
 *
 * @param url the base URL of an engine or a router on loopback
 * @param key the API key; empty to send none
 * @param model the name of the model
 * @param concurrency the number of requests in flight
 * @param requests the maximum number of measured requests
 * @param limit the maximum duration of the run
 * @param warmUp the number of requests sent before the measurement
 * @param stream whether the answers are streamed
 * @param maxTokens the maximum number of tokens in an answer
 * @param promptWords the number of words in a prompt
 */
record LoadPlan(
    URI url,
    String key,
    String model,
    int concurrency,
    int requests,
    Duration limit,
    int warmUp,
    boolean stream,
    int maxTokens,
    int promptWords) {
  private static final Pattern LOOPBACK = Pattern.compile("127(\\.\\d{1,3}){3}|\\[::1]|localhost");
  private static final int MAX_CONCURRENCY = 4096;
  private static final int MAX_REQUESTS = 1_000_000;
  private static final int MAX_TOKENS = 100_000;
  private static final Duration MAX_LIMIT = Duration.ofMinutes(30);

  LoadPlan {
    if (url.getHost() == null || !LOOPBACK.matcher(url.getHost()).matches()) {
      throw invalid("the host of --url must be a loopback address");
    }
    check("--concurrency", concurrency, 1, MAX_CONCURRENCY);
    check("--requests", requests, 1, MAX_REQUESTS);
    check("--warm-up", warmUp, 0, MAX_REQUESTS);
    check("--max-tokens", maxTokens, 1, MAX_TOKENS);
    check("--prompt-words", promptWords, 1, MAX_TOKENS);
    check("--seconds", limit.toSeconds(), 1, MAX_LIMIT.toSeconds());
  }

  /**
   * Returns the prompt of a request. Prompts differ in their first word, so that requests share no
   * prefix cache blocks.
   */
  String prompt(int request) {
    StringBuilder prompt = new StringBuilder("request-" + request);
    for (int i = 1; i < promptWords; i++) {
      prompt.append(" word").append(i);
    }
    return prompt.toString();
  }

  private static void check(String option, long value, long min, long max) {
    if (value < min || value > max) {
      throw invalid(option + " must be between " + min + " and " + max);
    }
  }

  private static SnipeloomException invalid(String message) {
    return SnipeloomException.of(ErrorCode.INVALID_SETTINGS, message);
  }
}

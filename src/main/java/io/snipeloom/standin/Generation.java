package io.snipeloom.standin;

/**
 * The state of one request in the engine. Not thread-safe; guarded by the lock of {@link
 * BatchEngine}.
 */
final class Generation {
  private final String id;
  private final ChatRequest request;
  private final long arrivalNumber;
  private final AnswerText answer;
  private final int promptTokens;
  private final int tokenLimit;

  private TokenListener listener;
  private int generated;
  private int remainingPrefillSteps;

  Generation(String id, ChatRequest request, long arrivalNumber, int answerTokens) {
    this.id = id;
    this.request = request;
    this.arrivalNumber = arrivalNumber;
    this.answer = AnswerText.of(request.prompt());
    this.promptTokens = Math.max(1, AnswerText.words(request.prompt()).size());
    this.tokenLimit =
        request.maxTokens() > 0 ? Math.min(request.maxTokens(), answerTokens) : answerTokens;
  }

  String id() {
    return id;
  }

  ChatRequest request() {
    return request;
  }

  long arrivalNumber() {
    return arrivalNumber;
  }

  int promptTokens() {
    return promptTokens;
  }

  int generated() {
    return generated;
  }

  TokenListener listener() {
    return listener;
  }

  void attach(TokenListener newListener) {
    listener = newListener;
  }

  void startPrefill(int steps) {
    remainingPrefillSteps = steps;
  }

  /**
   * Runs one prefill step if any remain. Returns whether the prefill was already complete before
   * the call.
   */
  boolean advancePrefill() {
    if (remainingPrefillSteps == 0) {
      return true;
    }
    remainingPrefillSteps--;
    return false;
  }

  String token(int index) {
    return answer.token(index);
  }

  /** Counts the next token as generated and returns its index. */
  int nextToken() {
    return generated++;
  }

  boolean isDone() {
    return generated >= tokenLimit;
  }

  FinishReason finishReason() {
    boolean endedByRequestLimit = request.maxTokens() > 0 && tokenLimit == request.maxTokens();
    return endedByRequestLimit ? FinishReason.LENGTH : FinishReason.STOP;
  }
}

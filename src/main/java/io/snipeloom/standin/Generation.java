package io.snipeloom.standin;

/** The state of one request in the engine. Guarded by the lock of the engine. */
final class Generation {
  private final String id;
  private final ChatRequest request;
  private final long arrival;
  private final AnswerText answer;
  private final int promptTokens;
  private final int limit;

  private TokenListener listener;
  private int generated;
  private int prefillSteps;

  Generation(String id, ChatRequest request, long arrival, int answerTokens) {
    this.id = id;
    this.request = request;
    this.arrival = arrival;
    this.answer = AnswerText.of(request.prompt());
    this.promptTokens = Math.max(1, AnswerText.words(request.prompt()).size());
    this.limit =
        request.maxTokens() > 0 ? Math.min(request.maxTokens(), answerTokens) : answerTokens;
  }

  String id() {
    return id;
  }

  ChatRequest request() {
    return request;
  }

  long arrival() {
    return arrival;
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
    prefillSteps = steps;
  }

  /** Makes one step of the prefill and returns whether the prefill was done before. */
  boolean isPrefilled() {
    if (prefillSteps == 0) {
      return true;
    }
    prefillSteps--;
    return false;
  }

  String token(int index) {
    return answer.token(index);
  }

  /** Generates the next token and returns its index. */
  int generate() {
    return generated++;
  }

  boolean isDone() {
    return generated >= limit;
  }

  FinishReason finishReason() {
    boolean limited = request.maxTokens() > 0 && limit == request.maxTokens();
    return limited ? FinishReason.LENGTH : FinishReason.STOP;
  }
}

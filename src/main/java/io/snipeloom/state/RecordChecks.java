package io.snipeloom.state;

/** Checks the components of records when they are constructed. */
final class RecordChecks {
  /** The maximum number of tokens in one record and in one budget. */
  static final long MAX_TOKENS = 1L << 53;

  private RecordChecks() {}

  static void requirePresent(String record, Object... components) {
    for (Object component : components) {
      require(component != null, record, "a component is missing");
    }
  }

  static void requireTokenCount(String record, long tokens) {
    require(tokens >= 0 && tokens <= MAX_TOKENS, record, "tokens out of range: " + tokens);
  }

  static void require(boolean condition, String record, String message) {
    if (!condition) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_RECORD, record + ": " + message);
    }
  }
}

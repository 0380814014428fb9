package io.snipeloom.state;

/** Checks the parts of records at their construction. */
final class RecordChecks {
  /** The most tokens of one record and of one budget. */
  static final long MAX_TOKENS = 1L << 53;

  private RecordChecks() {}

  static void present(String record, Object... parts) {
    for (Object part : parts) {
      require(part != null, record, "a part is missing");
    }
  }

  static void tokens(String record, long tokens) {
    require(tokens >= 0 && tokens <= MAX_TOKENS, record, "tokens out of range: " + tokens);
  }

  static void require(boolean condition, String record, String message) {
    if (!condition) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_RECORD, record + ": " + message);
    }
  }
}

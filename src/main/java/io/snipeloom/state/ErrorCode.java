package io.snipeloom.state;

/** The documented error codes, each with its text form and HTTP status. */
public enum ErrorCode {
  INVALID_IDENTIFIER("invalid.identifier", 400),
  INVALID_REQUEST("invalid.request", 400),
  INVALID_SETTINGS("invalid.settings", 400),
  INVALID_CONFIGURATION("invalid.configuration", 422),
  CONFIGURATION_CONFLICT("configuration.conflict", 409),
  UNAUTHENTICATED("unauthenticated", 401),
  FORBIDDEN("forbidden", 403),
  NOT_FOUND("not.found", 404),
  BODY_TOO_LARGE("body.too.large", 413),
  KEY_REQUIRED("key.required", 400),
  KEY_EXPIRED("key.expired", 409),
  KEY_REUSED("key.reused", 422),
  BUDGET_EXHAUSTED("budget.exhausted", 402),
  BUDGET_UNAVAILABLE("budget.unavailable", 503),
  OVERLOADED("overloaded", 429),
  DEADLINE_EXCEEDED("deadline.exceeded", 504),
  NO_UPSTREAM("no.upstream", 503),
  LEAVING("leaving", 503),
  UPSTREAM_FAILED("upstream.failed", 502),
  REQUEST_CONVICTED("request.convicted", 422),
  OUTCOME_UNKNOWN("outcome.unknown", 502),
  LOG_UNAVAILABLE("log.unavailable", 503),
  NOT_READY("not.ready", 503),
  FENCED("fenced", 409),
  MALFORMED_RECORD("malformed.record", 500),
  MALFORMED_FRAME("malformed.frame", 400),
  CONNECTION_LOST("connection.lost", 502),
  INVARIANT_VIOLATED("invariant.violated", 500),
  INTERNAL("internal", 500);

  private final String text;
  private final int httpStatus;

  ErrorCode(String text, int httpStatus) {
    this.text = text;
    this.httpStatus = httpStatus;
  }

  /** Returns the text form used in responses to callers, in logs and on console pages. */
  public String text() {
    return text;
  }

  /** Returns the HTTP status of responses that carry this code. */
  public int httpStatus() {
    return httpStatus;
  }
}

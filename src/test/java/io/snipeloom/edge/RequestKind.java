package io.snipeloom.edge;

/** The kinds of requests, by the routes of {@link EdgeFixture}. */
enum RequestKind {
  IDEMPOTENT("/status/1", "app", ""),
  NON_IDEMPOTENT("/vote/1", "app", ""),
  STREAMED(
      "/draft/1",
      "llm",
      "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n");

  private final String path;
  private final String service;
  private final String headers;

  RequestKind(String path, String service, String headers) {
    this.path = path;
    this.service = service;
    this.headers = headers;
  }

  String path() {
    return path;
  }

  String service() {
    return service;
  }

  /** Returns a request whose body is sent with a length or in chunks. */
  String request(String id, long deadlineMillis, BodyFraming framing, String body) {
    return "POST %s HTTP/1.1\r\nHost: h.example\r\nSnipeloom-Attempt-Id: %s\r\n".formatted(path, id)
        + "Snipeloom-Credential: key\r\nSnipeloom-Deadline-Ms: %d\r\n".formatted(deadlineMillis)
        + headers
        + "Connection: close\r\n"
        + framing.encode(body);
  }
}

package io.snipeloom.edge;

import java.util.List;
import java.util.Random;

/**
 * A request that says how long its replica works on it.
 *
 * @param kind its kind
 * @param workMillis how long the replica works
 * @param position where a stream goes on
 */
record PacedRequest(Kind kind, long workMillis, Position position) {
  private static final int SHORT_WORK_MILLIS = 50;

  /** A kind of request, by the route that it takes. */
  enum Kind {
    /** A stream that its caller can resume. */
    STREAM("/draft/"),
    /** A stream that cannot be resumed. */
    ONCE("/once/"),
    /** A call that must not run twice. */
    VOTE("/vote/"),
    /** A call that may be repeated. */
    LOOK("/status/");

    private static final List<Kind> MIX = List.of(STREAM, STREAM, STREAM, ONCE, VOTE, LOOK);

    private final String path;

    Kind(String path) {
      this.path = path;
    }

    /** Returns whether the answer is a stream of events. */
    boolean isStream() {
      return this == STREAM || this == ONCE;
    }

    /** Returns whether a request may run more than once. */
    boolean isRepeatable() {
      return this == STREAM || this == LOOK;
    }
  }

  /**
   * What a caller has received of a stream.
   *
   * @param attempt the attempt that received the last event; empty if there was none
   * @param lastEvent the number of the last event; 0 if there was none
   */
  record Position(String attempt, int lastEvent) {
    /** Nothing was received. */
    static final Position START = new Position("", 0);

    private String headers() {
      return lastEvent == 0
          ? ""
          : "Last-Event-Id: " + lastEvent + "\r\nResumes: " + attempt + "\r\n";
    }
  }

  /** Draws a request that is not resumed; streams last up to the given time. */
  static PacedRequest draw(Random random, int longestStreamMillis) {
    Kind kind = Kind.MIX.get(random.nextInt(Kind.MIX.size()));
    int longest = kind.isStream() ? longestStreamMillis : SHORT_WORK_MILLIS;
    return new PacedRequest(kind, 10 + random.nextInt(longest), Position.START);
  }

  /** Returns the same request, which goes on where its caller is. */
  PacedRequest from(Position reached) {
    return new PacedRequest(kind, workMillis, reached);
  }

  /** Returns the head of the request, for a body of four bytes. */
  String head(String attempt, int limitMillis) {
    return "POST "
        + kind.path
        + workMillis
        + " HTTP/1.1\r\nHost: h.example\r\nSnipeloom-Attempt-Id: "
        + attempt
        + "\r\nSnipeloom-Credential: key\r\nSnipeloom-Deadline-Ms: "
        + limitMillis
        + "\r\nSnipeloom-Token-Counts: 100,100\r\nSnipeloom-Prompt-Prefix: aa:10,"
        + Integer.toHexString(attempt.hashCode())
        + ":90\r\n"
        + position.headers()
        + "Content-Length: 4\r\n\r\n";
  }
}

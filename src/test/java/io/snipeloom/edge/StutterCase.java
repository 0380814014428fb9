package io.snipeloom.edge;

import java.util.Locale;

/**
 * How a replica answers a request, and later once more.
 *
 * @param first the first answer, which is the one that counts
 * @param later the copy that follows; it has the body of the first answer if both are the same
 */
record StutterCase(
    Answer first,
    Answer later,
    StutterMoment moment,
    Framing firstFraming,
    Framing laterFraming,
    Framing nextFraming,
    Cut cut,
    Naming naming) {
  private static final String INTERIM_HEAD = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  private static final String FIRST_HEADER = "Date: Sat, 05 Dec 2026 12:00:00 GMT\r\n";

  /** A case whose copy is complete and names the request as the first answer does. */
  static StutterCase of(Answer first, Answer later, StutterMoment moment) {
    return new StutterCase(
        first,
        later,
        moment,
        Framing.LENGTH,
        Framing.LENGTH,
        moment.splitsNextAnswer() ? Framing.CHUNKED : Framing.LENGTH,
        Cut.NONE,
        Naming.OWN);
  }

  /** Returns the case with other framings; a next answer that is split is sent in chunks. */
  StutterCase framed(Framing forFirst, Framing forLater, Framing forNext) {
    Framing splittable = moment.splitsNextAnswer() ? Framing.CHUNKED : forNext;
    return new StutterCase(first, later, moment, forFirst, forLater, splittable, cut, naming);
  }

  StutterCase cut(Cut where) {
    return new StutterCase(
        first, later, moment, firstFraming, laterFraming, nextFraming, where, naming);
  }

  StutterCase named(Naming form) {
    return new StutterCase(
        first, later, moment, firstFraming, laterFraming, nextFraming, cut, form);
  }

  /** Returns what the replica answers to all other requests: not what the copy says. */
  Answer nextAnswer() {
    return later == Answer.OK ? Answer.FAILED : Answer.OK;
  }

  /** Returns how often a request that is answered twice is refused. */
  int refusals() {
    return first == Answer.NOT_RUN ? 2 : 0;
  }

  String firstText(String id, boolean streamed, boolean closes) {
    String body = body(first, id, streamed);
    return text(first, lines(id, closes), body, streamed, firstFraming);
  }

  String nextText(String id, boolean streamed, boolean closes) {
    String body = body(nextAnswer(), id, streamed);
    return text(nextAnswer(), lines(id, closes), body, streamed, nextFraming);
  }

  String copy(String id, boolean streamed) {
    boolean events = streamed && later == Answer.OK;
    String copied = "copy for " + id + " in full";
    String body = first == later ? body(first, id, streamed) : events ? events(copied) : copied;
    return cut.of(text(later, naming.lines(id), body, streamed, laterFraming));
  }

  @Override
  public String toString() {
    return "%s %s, later %s %s %s, %s, next %s %s, id %s"
        .formatted(
            first,
            firstFraming,
            later,
            laterFraming,
            moment,
            cut,
            nextAnswer(),
            nextFraming,
            naming);
  }

  private static String lines(String id, boolean closes) {
    return Naming.OWN.lines(id) + (closes ? "Connection: close\r\n" : "");
  }

  /** Returns the body of an answer that counts. */
  static String body(Answer answer, String id, boolean streamed) {
    String text = answer + " for " + id;
    return streamed && answer == Answer.OK ? events(text) : text;
  }

  private static String events(String text) {
    return "id: 1\ndata: %s\n\nid: 2\ndata: %s\n\nid: 3\ndata: end\n\n".formatted(text, text);
  }

  private static String text(
      Answer answer, String lines, String body, boolean streamed, Framing framing) {
    String type = streamed && answer == Answer.OK ? "Content-Type: text/event-stream\r\n" : "";
    String interim = framing == Framing.BEHIND_INTERIM_HEAD ? INTERIM_HEAD : "";
    return interim + answer.line + FIRST_HEADER + lines + answer.header + type + framing.of(body);
  }

  /** What an answer says. */
  enum Answer {
    OK(200, "HTTP/1.1 200 OK\r\n", "Snipeloom-Replica-Signature: s\r\n"),
    FAILED(500, "HTTP/1.1 500 Internal Server Error\r\n", "Snipeloom-Replica-Signature: s\r\n"),
    NOT_RUN(503, "HTTP/1.1 503 Full\r\n", "Snipeloom-Not-Executed: 1\r\n");

    final int status;
    private final String line;
    private final String header;

    Answer(int status, String line, String header) {
      this.status = status;
      this.line = line;
      this.header = header;
    }
  }

  /** How the end of an answer is marked. */
  enum Framing {
    LENGTH,
    CHUNKED,
    TO_CLOSE,
    NO_BODY,
    BEHIND_INTERIM_HEAD;

    /** The characters of the first of two chunks. */
    private static final int FIRST_CHUNK = 10;

    /** Where the second chunk begins, counted from the end of the head. */
    static final int SECOND_CHUNK_AT = "a\r\n".length() + FIRST_CHUNK + "\r\n".length();

    /** Returns the framing headers, the end of the head and the body. */
    String of(String body) {
      return switch (this) {
        case LENGTH, BEHIND_INTERIM_HEAD -> BodyFraming.LENGTH.encode(body);
        case CHUNKED -> inTwoChunks(body);
        case TO_CLOSE -> BodyFraming.CONNECTION_CLOSE.encode(body);
        case NO_BODY -> BodyFraming.LENGTH.encode("");
      };
    }

    private static String inTwoChunks(String body) {
      return "Transfer-Encoding: chunked\r\n\r\na\r\n%s\r\n%x\r\n%s\r\n"
              .formatted(
                  body.substring(0, FIRST_CHUNK),
                  body.length() - FIRST_CHUNK,
                  body.substring(FIRST_CHUNK))
          + BodyFraming.END_OF_CHUNKS;
    }
  }

  /** Where a copy ends too early, while its connection stays open. */
  enum Cut {
    NONE(""),
    IN_STATUS("00 OK"),
    AFTER_STATUS("OK\r\n"),
    IN_REASON("K\r\n"),
    IN_LINE_END("\nDate"),
    AFTER_STATUS_LINE("Date"),
    IN_NAME("te: Sat"),
    IN_VALUE(", 05 Dec"),
    AFTER_HEADER_LINE("Snipeloom-Attempt-Id"),
    IN_ID_NAME("empt-Id"),
    IN_ID("id\r\n"),
    AFTER_ID_LINE("Snipeloom-Replica-Signature"),
    IN_SIGNATURE("s\r\nContent"),
    BEFORE_END_OF_HEAD("\r\n\r\n") {
      @Override
      int endIn(String text) {
        return super.endIn(text) + "\r\n".length();
      }
    },
    IN_BODY(" in full");

    private final String missing;

    Cut(String missing) {
      this.missing = missing;
    }

    private String of(String text) {
      return this == NONE ? text : text.substring(0, endIn(text));
    }

    int endIn(String text) {
      int end = text.indexOf(missing);
      if (end < 0) {
        throw new IllegalArgumentException(this + " does not apply to " + text);
      }
      return end;
    }
  }

  /** How a copy names its request, and perhaps the next one. */
  enum Naming {
    OWN("Snipeloom-Attempt-Id: %1$s\r\n"),
    LOWER_CASE_NAME("snipeloom-attempt-id: %1$s\r\n"),
    OWN_IN_UPPER_CASE("Snipeloom-Attempt-Id: %3$s\r\n"),
    NEXT_IN_UPPER_CASE("Snipeloom-Attempt-Id: %4$s\r\n"),
    OWN_THEN_NEXT("Snipeloom-Attempt-Id: %1$s\r\nSnipeloom-Attempt-Id: %2$s\r\n"),
    NEXT_THEN_OWN("Snipeloom-Attempt-Id: %2$s\r\nSnipeloom-Attempt-Id: %1$s\r\n"),
    OWN_AND_NEXT_IN_ONE_LINE("Snipeloom-Attempt-Id: %1$s, %2$s\r\n"),
    EMPTY_THEN_OWN("Snipeloom-Attempt-Id: \r\nSnipeloom-Attempt-Id: %1$s\r\n");

    private final String lines;

    Naming(String lines) {
      this.lines = lines;
    }

    private String lines(String id) {
      String next = StutteringReplica.nextOf(id);
      return lines.formatted(id, next, id.toUpperCase(Locale.ROOT), next.toUpperCase(Locale.ROOT));
    }
  }
}

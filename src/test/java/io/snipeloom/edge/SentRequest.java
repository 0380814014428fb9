package io.snipeloom.edge;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * A request that was written whole, and how it ended.
 *
 * @param process the process of the instance that it was sent to
 * @param attempt its attempt ID
 * @param request what was asked
 * @param begunNanos when its head was written
 * @param sentNanos when its last byte was written
 * @param endedNanos when its answer or its connection ended
 * @param answer what arrived
 */
record SentRequest(
    String process,
    String attempt,
    PacedRequest request,
    long begunNanos,
    long sentNanos,
    long endedNanos,
    Answer answer) {
  private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: \\w+\n\n");

  /**
   * An answer or a part of it.
   *
   * @param status its status, 0 if none began
   * @param whole whether it is complete
   * @param retryAfterSeconds when the caller may come back
   * @param body its body as far as it arrived
   */
  record Answer(int status, boolean whole, double retryAfterSeconds, String body) {}

  PacedRequest.Kind kind() {
    return request.kind();
  }

  int status() {
    return answer.status();
  }

  boolean whole() {
    return answer.whole();
  }

  /** Returns whether the answer was cut at the time limit of the request. */
  boolean isCutAtLimit() {
    return status() == 200
        && !whole()
        && endedNanos - begunNanos >= TimeUnit.MILLISECONDS.toNanos(KeptConnection.LIMIT_MILLIS);
  }

  /** Returns whether the instance refused the request as not run. */
  boolean isRefused() {
    return status() == 503 && whole();
  }

  /** Returns whether the caller went on with a stream that had broken off. */
  boolean isResumption() {
    return request.position().lastEvent() > 0;
  }

  /** Returns whether the answer is a part of a stream that its caller can resume. */
  boolean isCutStream() {
    return kind() == PacedRequest.Kind.STREAM && status() == 200 && !whole();
  }

  /** Returns the numbers of the complete events that arrived. */
  private List<Integer> events() {
    return EVENT
        .matcher(answer.body())
        .results()
        .map(MatchResult::group)
        .map(event -> Integer.valueOf(event.substring("id: ".length(), event.indexOf('\n'))))
        .toList();
  }

  /** Returns what the caller has of the stream now. */
  PacedRequest.Position reached() {
    List<Integer> events = events();
    return events.isEmpty()
        ? request.position()
        : new PacedRequest.Position(attempt, events.get(events.size() - 1));
  }

  /**
   * Returns whether no event is missing or comes twice, and whether a whole stream has its last.
   */
  boolean isInOrder() {
    if (!kind().isStream() || status() != 200) {
      return true;
    }
    List<Integer> events = events();
    int first = request.position().lastEvent() + 1;
    boolean complete = !whole() || answer.body().endsWith(PacedReplica.LAST_EVENT_DATA + "\n\n");
    return complete
        && events.equals(IntStream.range(first, first + events.size()).boxed().toList());
  }

  /** Leaves out the body. */
  @Override
  public String toString() {
    return "%s at %s: %s, status %d, whole %s, %d ms"
        .formatted(
            attempt,
            process,
            request,
            status(),
            whole(),
            TimeUnit.NANOSECONDS.toMillis(endedNanos - sentNanos));
  }
}

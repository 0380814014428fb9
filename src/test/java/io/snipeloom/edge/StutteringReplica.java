package io.snipeloom.edge;

import io.snipeloom.edge.StutterCase.Answer;
import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * The script of replicas that answer some requests once more, and which knows of each request what
 * its caller may get. Thread-safe.
 */
final class StutteringReplica implements FakeReplica.Script {
  private static final String STUTTERED = "s";
  private static final String NEXT = "n";
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  private final StutterCase stutter;
  private final Consumer<FakeReplica.Request> beforeLast;
  private final Map<Socket, String> copies = Collections.synchronizedMap(new IdentityHashMap<>());
  private final Map<String, Integer> sends = new ConcurrentHashMap<>();
  private final Map<String, Set<Answer>> answers = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final AtomicInteger answering = new AtomicInteger();

  /**
   * Creates the script.
   *
   * @param beforeLast called before the last refusal of a request that is answered twice, or before
   *     its first answer if it is not refused
   */
  StutteringReplica(StutterCase stutter, Consumer<FakeReplica.Request> beforeLast) {
    this.stutter = stutter;
    this.beforeLast = beforeLast;
  }

  /** Returns the ID of a request that is answered twice. */
  static String stuttered(int number) {
    return STUTTERED + number + "id";
  }

  /** Returns the ID of the request that is sent after one that is answered twice. */
  static String nextOf(String id) {
    return NEXT + id.substring(STUTTERED.length());
  }

  /** Waits until all that is due was written, and some more time to read it. */
  void awaitRead() throws InterruptedException {
    awaitWritten();
    Thread.sleep(StutterMoment.READ_MILLIS);
  }

  /** Waits for the rest of an answer if its caller got a copy in place of it. */
  void awaitAnswers() throws InterruptedException {
    if (answering.get() > 0) {
      awaitRead();
    }
  }

  private void awaitWritten() throws InterruptedException {
    while (answering.get() > 0) {
      Thread.sleep(1);
    }
  }

  @Override
  public boolean respond(FakeReplica.Request request, Socket socket)
      throws IOException, InterruptedException {
    answering.incrementAndGet();
    try {
      return answer(request, socket);
    } finally {
      answering.decrementAndGet();
    }
  }

  private boolean answer(FakeReplica.Request request, Socket socket)
      throws IOException, InterruptedException {
    String id = request.attempt();
    int send = sends.merge(id, 1, Integer::sum);
    if (!id.startsWith(STUTTERED) || send > Math.max(1, stutter.refusals())) {
      return answerNext(request, socket);
    }
    if (send >= stutter.refusals()) {
      beforeLast.accept(request);
    }
    record(id, stutter.first());
    boolean streamed = isStreamed(request);
    if (send == 1) {
      String copy = stutter.copy(id, streamed);
      copies.put(socket, copy);
      stutter.moment().writeFirst(socket, stutter.firstText(id, streamed, false), copy);
    } else {
      FakeReplica.write(socket, stutter.firstText(id, streamed, !copies.containsKey(socket)));
    }
    return copies.containsKey(socket);
  }

  /**
   * Answers a request that is not refused. The replica announces that it closes the connections
   * without a copy, so that the one with a copy is used for the next request.
   */
  private boolean answerNext(FakeReplica.Request request, Socket socket)
      throws IOException, InterruptedException {
    String id = request.attempt();
    record(id, stutter.nextAnswer());
    String copy = copies.remove(socket);
    boolean closes = copy == null || stutter.nextFraming() == StutterCase.Framing.TO_CLOSE;
    String answer = stutter.nextText(id, isStreamed(request), closes);
    if (copy == null) {
      FakeReplica.write(socket, answer);
    } else {
      stutter.moment().writeNext(socket, answer, copy);
    }
    return !closes;
  }

  private static boolean isStreamed(FakeReplica.Request request) {
    return request.line().contains(RequestKind.STREAMED.path());
  }

  private void record(String id, Answer answer) {
    answers.computeIfAbsent(id, unused -> ConcurrentHashMap.newKeySet()).add(answer);
    if (answer != Answer.NOT_RUN) {
      runs.computeIfAbsent(id, unused -> new AtomicInteger()).incrementAndGet();
    }
  }

  /** Returns what is wrong with the answer that a caller got, if anything. */
  Optional<String> fault(RequestKind kind, String id, CallerAnswer got) {
    int runCount = runs.getOrDefault(id, new AtomicInteger()).get();
    if (runCount > 1 && kind == RequestKind.NON_IDEMPOTENT) {
      return Optional.of("ran " + runCount + " times");
    }
    if (NOT_RUN_STATUSES.contains(got.status())) {
      return runCount == 0 ? Optional.empty() : Optional.of("not run, although it ran");
    }
    if (!got.isSigned()) {
      return got.status() >= 500 ? Optional.empty() : Optional.of("no answer of a replica");
    }
    boolean genuine =
        answers.getOrDefault(id, Set.of()).stream()
            .anyMatch(answer -> isPartOf(answer, id, kind, got));
    return genuine ? Optional.empty() : Optional.of("not the answer of its replica");
  }

  /** Returns whether a caller got an answer of the replica, whole or cut off visibly. */
  private boolean isPartOf(Answer answer, String id, RequestKind kind, CallerAnswer got) {
    String body = bodyOf(answer, id, kind == RequestKind.STREAMED);
    return got.status() == answer.status
        && (got.isWhole() ? got.body().equals(body) : body.startsWith(got.body()));
  }

  private String bodyOf(Answer answer, String id, boolean streamed) {
    boolean isFirst = id.startsWith(STUTTERED) && answer == stutter.first();
    StutterCase.Framing framing = isFirst ? stutter.firstFraming() : stutter.nextFraming();
    return framing == StutterCase.Framing.NO_BODY ? "" : StutterCase.body(answer, id, streamed);
  }

  /** Returns a fault if a caller that must be served got no whole answer of a replica. */
  static Optional<String> notServed(boolean mustBeServed, CallerAnswer got) {
    boolean served = got.isSigned() && got.isWhole();
    return mustBeServed && !served ? Optional.of("not served") : Optional.empty();
  }
}

package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import io.snipeloom.edge.StutterCase.Answer;
import io.snipeloom.edge.StutterCase.Cut;
import io.snipeloom.edge.StutterCase.Framing;
import io.snipeloom.edge.StutterCase.Naming;
import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A replica answers a request, and later once more with the ID of the request. No caller may get a
 * success where its replica answered with a failure, an answer that is not its own or not whole, or
 * the promise that its request was not run if it was.
 *
 * <p>A copy inside a body with a length, or inside a chunk, cannot be told from that body.
 */
@Timeout(60)
class StutteringReplicaTest {
  /** If set, all framings, first answers and ways to send a body are run, instead of samples. */
  private static final boolean ALL = Boolean.getBoolean("snipeloom.stutters.all");

  /** The time for requests that must be served. */
  private static final long PATIENT_MILLIS = 5_000;

  /** The time for requests whose answer the copy may swallow. */
  private static final long IMPATIENT_MILLIS = 500;

  private static final String BODY = "body";
  private static final String LONG_BODY = "long body ".repeat(20_000);

  private static final Answer[][] PAIRS = {
    {Answer.NOT_RUN, Answer.OK},
    {Answer.FAILED, Answer.OK},
    {Answer.OK, Answer.FAILED},
    {Answer.OK, Answer.OK},
    {Answer.OK, Answer.NOT_RUN},
    {Answer.NOT_RUN, Answer.FAILED},
    {Answer.NOT_RUN, Answer.NOT_RUN}
  };
  private static final Framing[] FIRST = {
    Framing.LENGTH, Framing.CHUNKED, Framing.BEHIND_INTERIM_HEAD
  };
  private static final Framing[] NEXT = {Framing.LENGTH, Framing.CHUNKED, Framing.TO_CLOSE};
  private static final BodyFraming[] BODIES = {BodyFraming.LENGTH, BodyFraming.CHUNKED};

  private final List<String> faults = new ArrayList<>();
  private EdgeFixture edge;
  private int requests;

  @BeforeEach
  void startInstance() throws IOException {
    edge = new EdgeFixture();
  }

  @AfterEach
  void stopInstance() {
    edge.close();
  }

  static Stream<Arguments> pairsAndMoments() {
    List<StutterCase> cases = new ArrayList<>();
    for (Answer[] pair : PAIRS) {
      for (StutterMoment moment : StutterMoment.values()) {
        cases.add(StutterCase.of(pair[0], pair[1], moment));
      }
    }
    return framed(cases, Framing.values());
  }

  static Stream<Arguments> cuts() {
    List<StutterCase> cases = new ArrayList<>();
    for (Cut cut : Cut.values()) {
      for (StutterMoment moment :
          List.of(
              StutterMoment.IN_SAME_WRITE,
              StutterMoment.WHILE_IDLE,
              StutterMoment.BEFORE_NEXT_ANSWER)) {
        for (Answer first : ALL ? List.of(Answer.FAILED, Answer.NOT_RUN) : List.of(Answer.FAILED)) {
          cases.add(StutterCase.of(first, Answer.OK, moment).cut(cut));
        }
      }
    }
    return framed(cases, Framing.LENGTH);
  }

  static Stream<Arguments> namings() {
    List<StutterCase> cases = new ArrayList<>();
    for (Naming naming : Naming.values()) {
      for (Answer later : List.of(Answer.OK, Answer.NOT_RUN)) {
        cases.add(
            StutterCase.of(Answer.FAILED, later, StutterMoment.BEFORE_NEXT_ANSWER).named(naming));
      }
    }
    return framed(cases, Framing.LENGTH);
  }

  static Stream<Arguments> failuresBeforeSuccess() {
    List<StutterCase> cases = new ArrayList<>();
    for (StutterMoment moment : StutterMoment.values()) {
      cases.add(StutterCase.of(Answer.NOT_RUN, Answer.OK, moment));
    }
    cases.add(StutterCase.of(Answer.FAILED, Answer.OK, StutterMoment.BEFORE_NEXT_ANSWER));
    return framed(cases, Framing.LENGTH);
  }

  static Stream<Arguments> refusalsBeforeSuccess() {
    List<StutterCase> cases = new ArrayList<>();
    for (StutterMoment moment :
        List.of(
            StutterMoment.IN_SAME_WRITE,
            StutterMoment.HALF_IN_SAME_WRITE,
            StutterMoment.BEFORE_NEXT_ANSWER)) {
      cases.add(StutterCase.of(Answer.NOT_RUN, Answer.OK, moment));
    }
    return framed(cases, Framing.LENGTH);
  }

  /** Provides all framings of each case, or one of them in turn. */
  private static Stream<Arguments> framed(List<StutterCase> cases, Framing... later) {
    List<Arguments> framed = new ArrayList<>();
    int combinations = later.length * NEXT.length * FIRST.length * BODIES.length;
    for (int i = 0; i < cases.size(); i++) {
      for (int j = 0; j < (ALL ? combinations : 1); j++) {
        int sample = ALL ? j : i * 7;
        Framing ofLater = later[sample % later.length];
        Framing ofNext = NEXT[sample / later.length % NEXT.length];
        Framing ofFirst = FIRST[sample / later.length / NEXT.length % FIRST.length];
        framed.add(
            Arguments.of(
                cases.get(i).framed(ofFirst, ofLater, ofNext),
                BODIES[(sample + i) % BODIES.length]));
      }
    }
    return framed.stream();
  }

  /** Guards against an answer of which the copy of an earlier one has become a part. */
  @ParameterizedTest
  @MethodSource("pairsAndMoments")
  void callersGetTheAnswersToTheirRequests(StutterCase stutter, BodyFraming body) throws Exception {
    play(stutter, body, BODY);
  }

  /** Guards against the status of a copy that is cut off, with the headers of the next answer. */
  @ParameterizedTest
  @MethodSource("cuts")
  void statusOfCopyThatIsCutOffIsNotThatOfTheNextAnswer(StutterCase stutter, BodyFraming body)
      throws Exception {
    play(stutter, body, BODY);
  }

  /** Guards against a copy that is taken for the next answer because it names that, too. */
  @ParameterizedTest
  @MethodSource("namings")
  void copyThatNamesItsRequestOtherwiseIsNotTheNextAnswer(StutterCase stutter, BodyFraming body)
      throws Exception {
    play(stutter, body, BODY);
  }

  /** Guards against answers that come while long requests are still on the way. */
  @ParameterizedTest
  @MethodSource("failuresBeforeSuccess")
  void callersWithLongBodiesGetTheAnswersToTheirRequests(StutterCase stutter, BodyFraming body)
      throws Exception {
    play(stutter, body, LONG_BODY);
  }

  /** Guards against a copy that is taken for an answer of another replica. */
  @ParameterizedTest
  @MethodSource("failuresBeforeSuccess")
  void callersGetTheAnswersToTheirRequestsFromTwoReplicas(StutterCase stutter, BodyFraming body)
      throws Exception {
    StutteringReplica script = new StutteringReplica(stutter, request -> {});
    try (FakeReplica one = FakeReplica.start(script);
        FakeReplica other = FakeReplica.start(script)) {
      register(1, one);
      register(2, other);
      configure();
      sendPairs(script, stutter, body, BODY);
    }
  }

  /** Guards against a send to the same replica that is not seen as one, as its ID has changed. */
  @ParameterizedTest
  @MethodSource("refusalsBeforeSuccess")
  void callersGetTheAnswersToTheirRequestsFromReplicaWithNewId(
      StutterCase stutter, BodyFraming body) throws Exception {
    FakeReplica[] replica = new FakeReplica[1];
    StutteringReplica script =
        new StutteringReplica(stutter, request -> addId(replica[0], request));
    replica[0] = FakeReplica.start(script);
    try (FakeReplica stuttering = replica[0]) {
      registerForAll(stuttering, 1);
      sendPairs(script, stutter, body, BODY);
    }
  }

  /** Guards against a send to the same replica that is not seen as one, as it has several IDs. */
  @ParameterizedTest
  @MethodSource("refusalsBeforeSuccess")
  void callersGetTheAnswersToTheirRequestsFromReplicaWithSeveralIds(
      StutterCase stutter, BodyFraming body) throws Exception {
    StutteringReplica script = new StutteringReplica(stutter, request -> {});
    try (FakeReplica replica = FakeReplica.start(script)) {
      registerForAll(replica, 3);
      sendPairs(script, stutter, body, BODY);
    }
  }

  private void addId(FakeReplica replica, FakeReplica.Request request) {
    boolean streamed = request.line().contains(RequestKind.STREAMED.path());
    String service = (streamed ? RequestKind.STREAMED : RequestKind.IDEMPOTENT).service();
    String id = "i-" + request.attempt();
    edge.register(id, service, replica, "ready");
    try {
      edge.awaitLog("event=replica replica=" + id + " ");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void play(StutterCase stutter, BodyFraming framing, String body) throws Exception {
    StutteringReplica script = new StutteringReplica(stutter, request -> {});
    try (FakeReplica replica = FakeReplica.start(script)) {
      registerForAll(replica, 1);
      sendPairs(script, stutter, framing, body);
    }
  }

  private void registerForAll(FakeReplica replica, int ids) throws Exception {
    for (int i = 1; i <= ids; i++) {
      register(i, replica);
    }
    configure();
  }

  private void register(int number, FakeReplica replica) {
    for (RequestKind kind : List.of(RequestKind.IDEMPOTENT, RequestKind.STREAMED)) {
      edge.register("i-" + number + "-" + kind.service(), kind.service(), replica, "ready");
    }
  }

  private void configure() throws Exception {
    edge.configureWithoutTotal(1);
    edge.awaitReady();
  }

  /** Sends a request that is answered twice and another one, of each kind. */
  private void sendPairs(
      StutteringReplica script, StutterCase stutter, BodyFraming framing, String body)
      throws Exception {
    for (RequestKind kind : RequestKind.values()) {
      sendPair(script, stutter, kind, framing, body);
    }
    assertThat(stutter + "\n" + edge.log.toString(StandardCharsets.UTF_8), faults, empty());
  }

  private void sendPair(
      StutteringReplica script,
      StutterCase stutter,
      RequestKind kind,
      BodyFraming framing,
      String body)
      throws Exception {
    String id = StutteringReplica.stuttered(requests++);
    CallerAnswer first = send(kind.request(id, PATIENT_MILLIS, framing, body));
    check(script, kind, id, first, stutter.first() == Answer.OK);
    script.awaitRead();
    String next = StutteringReplica.nextOf(id);
    boolean served = stutter.moment().isBeforeNextRequest();
    long deadlineMillis = served ? PATIENT_MILLIS : IMPATIENT_MILLIS;
    check(script, kind, next, send(kind.request(next, deadlineMillis, framing, body)), served);
    script.awaitAnswers();
  }

  private void check(
      StutteringReplica script, RequestKind kind, String id, CallerAnswer got, boolean served) {
    script
        .fault(kind, id, got)
        .or(() -> StutteringReplica.notServed(served, got))
        .ifPresent(fault -> faults.add(kind + " " + id + ": " + fault + ": " + got));
  }

  private CallerAnswer send(String request) throws IOException {
    try (Socket socket = edge.open()) {
      FakeReplica.write(socket, request);
      return CallerAnswer.parse(EdgeFixture.readAll(socket.getInputStream()));
    }
  }
}

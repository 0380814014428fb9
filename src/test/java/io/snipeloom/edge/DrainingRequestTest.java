package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests what an instance with a grace of 5 s does with requests after it was told to stop. Replicas
 * work as long as the path says.
 */
@Timeout(60)
class DrainingRequestTest {
  private static final String END_OF_CHUNKS = "0\r\n\r\n";
  private static final long GRACE_MILLIS = 5_000;

  /** A moment after the signal that is shortly before the listener closes. */
  private static final long BEFORE_CLOSE_MILLIS = 2_200;

  private static final long BLOCKED_MILLIS = 1_000;

  /** More than the event loop accepts in one turn. */
  private static final int WAITING_CALLERS = 100;

  /** Enough for streams to begin at both versions. */
  private static final int STREAMS = 8;

  /** How long after the last request records are taken again; the instance waits 800 ms for it. */
  private static final long RECORDED_AGAIN_MILLIS = 300;

  private final PacedReplica work = new PacedReplica();
  private EdgeFixture edge;
  private FakeReplica replica;
  private FakeReplica newer;
  private Thread stopping;
  private long stopNanos;

  @BeforeEach
  void startInstance() throws Exception {
    edge = new EdgeFixture();
    replica = FakeReplica.start(work::respond);
    newer = FakeReplica.start(work::respond);
    edge.configureWithoutTotal(1);
    edge.register("i-1", "app", replica, "ready");
    edge.register("e-1", "llm", replica, "ready");
    edge.awaitReady();
    edge.awaitLog("version=v1 declared=true");
  }

  @AfterEach
  void stopInstance() throws Exception {
    edge.close();
    if (stopping != null) {
      stopping.join();
    }
    replica.close();
    newer.close();
  }

  /** Guards against a close that announces the last answer although more requests have arrived. */
  @Test
  void requestsBehindAnotherOneAreAnsweredBeforeTheConnectionIsClosed() throws Exception {
    try (Socket caller = edge.open()) {
      FakeReplica.write(caller, EdgeFixture.request("/vote/800", "v0", "", false));
      edge.awaitLog("event=sent id=v0");
      beginStop();
      for (int i = 1; i <= 3; i++) {
        FakeReplica.write(caller, EdgeFixture.request("/vote/10", "v" + i, "", false));
      }
      String[] answers = EdgeFixture.readAll(caller.getInputStream()).split("HTTP/1.1 200", -1);
      assertThat(List.of(answers), hasSize(5));
      assertThat(answers[3], not(containsString("connection: close")));
      assertThat(answers[4], allOf(containsString("connection: close"), endsWith("done")));
    }
    assertThat(work.runs("v3"), is(1));
  }

  /** Guards against resets of connections that wait to be accepted when the listener closes. */
  @Test
  void callersThatWaitWhenTheListenerClosesAreAnswered() throws Exception {
    beginStop();
    TimeUnit.MILLISECONDS.sleep(BEFORE_CLOSE_MILLIS);
    edge.blockLoop(BLOCKED_MILLIS);
    TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS / 10);
    List<Socket> waiting = new ArrayList<>();
    for (int i = 0; i < WAITING_CALLERS; i++) {
      Socket caller = edge.open();
      waiting.add(caller);
      FakeReplica.write(caller, EdgeFixture.request("/vote/10", "w" + i, "", true));
    }
    for (Socket caller : waiting) {
      try (caller) {
        assertThat(EdgeFixture.readAll(caller.getInputStream()), startsWith("HTTP/1.1 "));
      }
    }
  }

  /** Guards against an answer that vanishes with the process, without a line that tells why. */
  @Test
  void streamThatIsOpenAtTheEndIsLoggedAndCounted() throws Exception {
    try (Socket caller = edge.open()) {
      FakeReplica.write(caller, stream(20_000, "cut"));
      edge.awaitLog("event=sent id=cut");
      beginStop();
      String answer = EdgeFixture.readAll(caller.getInputStream());
      final long endedMillis = millisSinceStop();
      assertThat(answer, startsWith("HTTP/1.1 200"));
      assertThat(answer, not(endsWith(END_OF_CHUNKS)));
      assertThat(endedMillis, is(lessThan(GRACE_MILLIS)));
    }
    stopping.join();
    String line = edge.lineWith("event=request id=cut");
    assertThat(line, containsString("outcome=broken_off"));
    assertThat(line, containsString("the instance shuts down"));
    assertThat(edge.metrics(), containsString("snipeloom_cut_for_shutdown_total 1"));
  }

  /** Guards against streams that begin although those like it take longer than is left. */
  @Test
  void streamIsRefusedIfThoseLikeItTakeLongerThanIsLeft() throws Exception {
    edge.send("/draft/3500", "before", "");
    beginStop();
    TimeUnit.MILLISECONDS.sleep(1_600);
    assertRefused(send(stream(300, "late")));
    assertThat(work.hasRun("late"), is(false));
    assertThat(edge.metrics(), containsString("snipeloom_refused_for_shutdown_total 1"));
  }

  /** Guards against refusals that cost a stream although it has the time that it needs. */
  @Test
  void streamBeginsIfThoseLikeItEndInTime() throws Exception {
    edge.send("/draft/500", "before", "");
    beginStop();
    TimeUnit.MILLISECONDS.sleep(1_600);
    assertThat(send(stream(300, "late")), endsWith(END_OF_CHUNKS));
  }

  /** Guards against a guess where no stream has told how long those like it take. */
  @Test
  void streamIsRefusedIfNoneHasToldHowLongItTakes() throws Exception {
    beginStop();
    assertRefused(send(stream(300, "late")));
    assertThat(work.hasRun("late"), is(false));
  }

  /** Guards against streams that begin late since those like it are short, and may be cut. */
  @ParameterizedTest
  @ValueSource(longs = {2_700, 3_100, 3_500})
  void requestThatIsCompleteLateRunsOnlyIfItEndsByItsLimit(long millis) throws Exception {
    edge.send("/draft/100", "before", "");
    String longer = stream(200, "long");
    String shorter = stream(200, "short").replace("Ms: 15000", "Ms: " + (millis + 900));
    try (Socket caller = edge.open();
        Socket other = edge.open()) {
      FakeReplica.write(caller, longer.substring(0, longer.length() - 1));
      FakeReplica.write(other, shorter.substring(0, shorter.length() - 1));
      beginStop();
      TimeUnit.MILLISECONDS.sleep(millis);
      FakeReplica.write(caller, "y");
      FakeReplica.write(other, "y");
      assertRefused(EdgeFixture.readAll(caller.getInputStream()));
      assertThat(EdgeFixture.readAll(other.getInputStream()), endsWith(END_OF_CHUNKS));
    }
    assertThat(work.hasRun("long"), is(false));
  }

  /** Guards against an instance that ends before others can read where its streams go on. */
  @Test
  void drainWaitsForTheRecordsOfStreamOrigins() throws Exception {
    edge.register("e-2", "llm", newer, "ready", "v2");
    edge.awaitLog("event=replica replica=e-2 ");
    edge.awaitLog("version=v2 declared=true");
    edge.send("/draft/100", "before", "");
    try (Socket early = edge.open()) {
      FakeReplica.write(early, stream(3_000, "early"));
      edge.awaitLog("event=sent id=early");
      beginStop();
      TimeUnit.MILLISECONDS.sleep(1_200);
      edge.store.refuseAppends("keyed.streams");
      for (int i = 0; i < STREAMS; i++) {
        send(stream(100, "late-" + i));
      }
      assertThat(EdgeFixture.readAll(early.getInputStream()), endsWith(END_OF_CHUNKS));
    }
    TimeUnit.MILLISECONDS.sleep(RECORDED_AGAIN_MILLIS);
    edge.store.refuseAppends("");
    stopping.join();
    String total = "event=stream_origins_recorded total=" + (STREAMS + 2);
    assertThat(edge.counts().toString(), edge.hasLogged(line -> line.contains(total)), is(true));
  }

  private void beginStop() throws InterruptedException {
    stopNanos = System.nanoTime();
    stopping = new Thread(edge::stop, "stop");
    stopping.start();
    edge.awaitLog("event=drain ");
  }

  private long millisSinceStop() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopNanos);
  }

  private String send(String request) throws IOException {
    try (Socket caller = edge.open()) {
      FakeReplica.write(caller, request);
      return EdgeFixture.readAll(caller.getInputStream());
    }
  }

  private static String stream(long workMillis, String attempt) {
    return EdgeFixture.request("/draft/" + workMillis, attempt, "", false)
        .replace("Deadline-Ms: 3000", "Deadline-Ms: 15000");
  }

  private static void assertRefused(String answer) {
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(answer, containsString("retry-after: 0.1"));
    assertThat(answer, containsString("the instance shuts down before the request could end"));
  }
}

package io.snipeloom.standin;

import static io.snipeloom.standin.StandinFixture.SHORT_TIMEOUTS;
import static io.snipeloom.standin.StandinFixture.failureOf;
import static io.snipeloom.standin.StandinFixture.uri;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.snipeloom.client.HttpLogService;
import io.snipeloom.client.LogPage;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LogStandinTest {
  private static final String STREAM = "decisions";

  private final LogStandin log = LogStandin.of(StandinAddress.anyPort());
  private HttpLogService client;

  @BeforeEach
  void start() {
    log.start();
    client = HttpLogService.of(List.of(uri(log.port())), SHORT_TIMEOUTS);
  }

  @AfterEach
  void stop() {
    client.stop();
    log.stop();
  }

  @Test
  void appendAssignsConsecutiveOffsetsAndReadReturnsRecords() {
    assertThat(append("a"), is(0L));
    assertThat(append("b"), is(1L));
    assertThat(texts(read(0)), contains("a", "b"));
    assertThat(texts(read(1)), contains("b"));
    assertThat(read(0).next(), is(2L));
  }

  @Test
  void waitingReadCompletesWithNextAppend() throws Exception {
    CompletableFuture<LogPage> page =
        CompletableFuture.supplyAsync(() -> client.read(STREAM, 0, 10, Duration.ofSeconds(10)));
    append("late");
    assertThat(texts(page.get(20, TimeUnit.SECONDS)), contains("late"));
  }

  @Test
  void waitingReadReturnsNoRecordsAfterWaitTime() {
    LogPage page = client.read(STREAM, 0, 10, Duration.ofMillis(50));
    assertThat(page.records(), is(empty()));
  }

  @Test
  void recordIsAppendedWhenResponseIsDropped() {
    log.faults().set(Faults.none().withDroppedResponses(1));
    SnipeloomException e = failureOf(() -> append("x"));
    assertThat(e.code(), is(ErrorCode.LOG_UNAVAILABLE));
    assertThat(e.step(), is("log.append"));
    assertThat(e.peer(), is("127.0.0.1:" + log.port()));
    assertThat(e.runState(), is(RunState.UNKNOWN));
    assertThat(append("y"), is(1L));
    assertThat(texts(read(0)), contains("x", "y"));
  }

  @Test
  void delayedResponseFailsAppendThoughRecordIsWritten() throws Exception {
    log.faults().set(Faults.none().withAnswerDelayMillis(5_000));
    assertThat(failureOf(() -> append("x")).code(), is(ErrorCode.LOG_UNAVAILABLE));
    log.faults().set(Faults.none());
    StandinFixture.await(() -> read(0).next() == 1);
  }

  @Test
  void requestsFailWhileLogIsDown() {
    append("a");
    log.faults().set(Faults.none().withDown(true));
    assertThat(failureOf(() -> append("b")).code(), is(ErrorCode.LOG_UNAVAILABLE));
    assertThat(failureOf(() -> read(0)).step(), is("log.read"));
    log.faults().set(Faults.none());
    assertThat(append("c"), is(1L));
  }

  @Test
  void appendFailsWhileLogIsSilent() {
    append("a");
    log.faults().set(Faults.none().withSilent(true));
    assertThat(failureOf(() -> append("b")).code(), is(ErrorCode.LOG_UNAVAILABLE));
    log.faults().set(Faults.none());
    assertThat(append("c"), is(1L));
  }

  @Test
  void silencedConnectionsFailWhileNewOnesWork() {
    append("a");
    log.faults().silenceOpenConnections();
    assertThat(failureOf(() -> append("b")).code(), is(ErrorCode.LOG_UNAVAILABLE));
    HttpLogService other = HttpLogService.of(List.of(uri(log.port())), SHORT_TIMEOUTS);
    assertThat(other.append(STREAM, "c".getBytes(UTF_8)), is(1L));
    other.stop();
  }

  @Test
  void recordsBeyondRetentionLimitAreDiscarded() {
    log.faults().set(Faults.none().withRetain(2));
    append("a");
    append("b");
    append("c");
    LogPage page = read(0);
    assertThat(page.firstRetained(), is(1L));
    assertThat(texts(page), contains("b", "c"));
  }

  @Test
  void requestAfterFailureUsesNextAddress() {
    LogStandin down = LogStandin.of(StandinAddress.anyPort());
    down.start();
    int port = down.port();
    down.stop();
    HttpLogService both = HttpLogService.of(List.of(uri(port), uri(log.port())), SHORT_TIMEOUTS);
    assertThat(
        failureOf(() -> both.read(STREAM, 0, 1, Duration.ZERO)).code(),
        is(ErrorCode.LOG_UNAVAILABLE));
    assertThat(both.append(STREAM, "a".getBytes(UTF_8)), is(0L));
    both.stop();
  }

  @Test
  void invalidStreamNameAndOffsetAreRejected() {
    assertThat(
        failureOf(() -> client.append("../x", new byte[0])).code(), is(ErrorCode.LOG_UNAVAILABLE));
    assertThat(
        failureOf(() -> client.read("s", -1, 1, Duration.ZERO)).getMessage(), is("status 400"));
  }

  private long append(String text) {
    return client.append(STREAM, text.getBytes(UTF_8));
  }

  private LogPage read(long from) {
    return client.read(STREAM, from, 10, Duration.ZERO);
  }

  private static List<String> texts(LogPage page) {
    return page.records().stream().map(record -> new String(record.data(), UTF_8)).toList();
  }
}

package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.client.LogPage;
import io.snipeloom.client.LogService;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RecordBatch;
import io.snipeloom.state.RecordCodec;
import io.snipeloom.transport.Eventually;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LogWriterTest {
  private static final Incarnation SELF = Incarnation.of("sidecar-1#1");
  private static final Incarnation HOLDER = Incarnation.of("router-1#1");
  private static final DecisionRecord FIRST = new DecisionRecord.HolderDrained(HOLDER, SELF);
  private static final DecisionRecord SECOND = new DecisionRecord.SidecarLeft(SELF);
  private static final DecisionRecord THIRD = new DecisionRecord.HolderClosed(HOLDER);

  private final List<RecordBatch> appended = new CopyOnWriteArrayList<>();
  private final LogService log = new RecordingLog();
  private final LogReplica replica =
      new LogReplica("decisions", log, System::nanoTime, new MetricRegistry());
  private final LogWriter writer =
      new LogWriter(
          "decisions",
          SELF,
          log,
          replica,
          LogWriterSettings.standard(),
          System::nanoTime,
          new MetricRegistry());

  @BeforeEach
  void start() {
    writer.start();
  }

  @AfterEach
  void stop() {
    writer.stop(Duration.ofMillis(1));
  }

  @Test
  void staleBatchesAreResentInOrderBeforeLaterRecords() {
    writer.appendNow(List.of(FIRST));
    Eventually.await("first batch", () -> appended.size() == 1);
    final CompletionStage<Long> second = writer.appendNow(List.of(SECOND));
    Eventually.await("second batch", () -> appended.size() == 2);
    writer.onReadBack(1, 0, true);
    writer.appendNow(List.of(THIRD));
    writer.onReadBack(2, 1, true);
    Eventually.await("resent batch", () -> appended.size() == 3);
    assertThat(appended.get(2).records(), contains(FIRST, SECOND, THIRD));
    writer.onReadBack(3, 2, false);
    assertThat(second.toCompletableFuture().join(), is(2L));
  }

  /** A log that records every batch appended and returns no records. */
  private final class RecordingLog implements LogService {
    @Override
    public long append(String stream, byte[] data) {
      appended.add(RecordCodec.decode(data));
      return appended.size() - 1L;
    }

    @Override
    public LogPage read(String stream, long from, int limit, Duration wait) {
      return new LogPage(0, 0, List.of());
    }
  }
}

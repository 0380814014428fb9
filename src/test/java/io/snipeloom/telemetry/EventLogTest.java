package io.snipeloom.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventLogTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);

  @Test
  void valuesCannotInjectFieldsOrLines() {
    EventLog log = EventLog.to(stream);
    log.start();
    log.log("request", "id", "a b=\"c\"\nevent=forged");
    log.stop();
    assertThat(
        out.toString(StandardCharsets.UTF_8),
        containsString(" event=request id=\"a b=\\\"c\\\"?event=forged\"\n"));
  }

  @Test
  void fullQueueDropsAndCountsLinesInsteadOfBlocking() {
    EventLog log = EventLog.to(stream, 10);
    for (int i = 0; i < 25; i++) {
      log.log("request", "number", i);
    }
    assertThat(log.dropped(), is(15L));
    log.start();
    log.stop();
    assertThat(
        out.toString(StandardCharsets.UTF_8), containsString("event=log_lines_dropped count=15"));
  }
}

package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EventStreamTest {
  private final EventStream stream = new EventStream();

  @Test
  void onlyCompleteEventsAreReturned() {
    assertThat(append("id: 1\ndata: a\n\nid: 2\nda"), is("id: 1\ndata: a\n\n"));
    assertThat(stream.lastEventId(), is(Optional.of("1")));
    assertThat(append("ta: b\n\n"), is("id: 2\ndata: b\n\n"));
    assertThat(stream.lastEventId(), is(Optional.of("2")));
    assertThat(stream.eventCount(), is(2));
  }

  /** Guards against an event that is looked through again from its start for each byte of it. */
  @Test
  @Timeout(5)
  void longEventIsReadByteByByte() {
    append("data: ");
    for (int i = 0; i < 1_000_000; i++) {
      append("a");
    }
    assertThat(append("\n\n").length(), is(1_000_008));
    assertThat(stream.eventCount(), is(1));
  }

  /** Guards against comments without end, which pass for progress. */
  @Test
  void commentsCountAsBytesSinceTheLastEvent() {
    append("id: 1\ndata: a\n\n: one\n\n\n");
    assertThat(stream.bytesSinceEvent(), is(8));
    append("id: 2\r\ndata: b\r\n\r\n:");
    assertThat(stream.lastEventId(), is(Optional.of("2")));
    assertThat(stream.bytesSinceEvent(), is(1));
  }

  @Test
  void partialEventIsDiscardedBeforeResuming() {
    append("id: 1\ndata: a\n\nid: 2\nda");
    stream.beginAttempt();
    assertThat(append("id: 2\ndata: b\n\n"), is("id: 2\ndata: b\n\n"));
    assertThat(stream.eventCount(), is(2));
  }

  @Test
  void unfinishedLineOrEventIsInsideEventAndBlankLinesAreNot() {
    assertThat(stream.isInsideEvent(), is(false));
    append("id: 1\ndata: a\n\n");
    assertThat(stream.isInsideEvent(), is(false));
    append("\n");
    assertThat(stream.isInsideEvent(), is(false));
    append("id: 2\ndata: b\n");
    assertThat(stream.isInsideEvent(), is(true));
    append("\n");
    assertThat(stream.isInsideEvent(), is(false));
  }

  @Test
  void eventsAreCountedOverAllAttemptsAndForTheCurrentOne() {
    append("id: 1\ndata: a\n\nid: 2\nda");
    stream.beginAttempt();
    assertThat(stream.eventsOfAttempt(), is(0));
    append("id: 2\ndata: b\n\n");
    assertThat(stream.eventsOfAttempt(), is(1));
    assertThat(stream.eventCount(), is(2));
  }

  @Test
  void bytesAfterLastCompleteEventAreKept() {
    append("id: 1\ndata: a\n\ntail");
    assertThat(stream.takeRemainder().toString(StandardCharsets.UTF_8), is("tail"));
  }

  @Test
  void fragmentationDoesNotChangeTheBytes() {
    StringBuilder input = new StringBuilder();
    for (int i = 0; i < 50; i++) {
      input.append("id: ").append(i).append(i % 2 == 0 ? "\ndata: x\n\n" : "\r\ndata: y\r\n\r\n");
    }
    for (long seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      EventStream fragmented = new EventStream();
      StringBuilder output = new StringBuilder();
      int start = 0;
      while (start < input.length()) {
        int end = Math.min(input.length(), start + 1 + random.nextInt(40));
        ByteBuf fragment =
            Unpooled.copiedBuffer(input.substring(start, end), StandardCharsets.UTF_8);
        output.append(fragmented.append(fragment).toString(StandardCharsets.UTF_8));
        start = end;
      }
      output.append(fragmented.takeRemainder().toString(StandardCharsets.UTF_8));
      assertThat("bytes with seed " + seed, output.toString(), is(input.toString()));
      assertThat(fragmented.lastEventId(), is(Optional.of("49")));
    }
  }

  private String append(String text) {
    return stream
        .append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
        .toString(StandardCharsets.UTF_8);
  }
}

package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class EventStreamTest {
  private final EventStream stream = new EventStream();

  @Test
  void onlyWholeEventsArePassedOn() {
    assertThat(append("id: 1\ndata: a\n\nid: 2\nda"), is("id: 1\ndata: a\n\n"));
    assertThat(stream.lastEventId(), is(Optional.of("1")));
    assertThat(append("ta: b\n\n"), is("id: 2\ndata: b\n\n"));
    assertThat(stream.lastEventId(), is(Optional.of("2")));
    assertThat(stream.events(), is(2));
  }

  @Test
  void halfAnEventIsDroppedBeforeStreamsAreResumed() {
    append("id: 1\ndata: a\n\nid: 2\nda");
    stream.dropRest();
    assertThat(append("id: 2\ndata: b\n\n"), is("id: 2\ndata: b\n\n"));
    assertThat(stream.events(), is(2));
  }

  @Test
  void whatFollowsTheLastWholeEventIsKeptForAnOrderlyEnd() {
    append("id: 1\ndata: a\n\ntail");
    assertThat(stream.takeRest().toString(StandardCharsets.UTF_8), is("tail"));
  }

  @Test
  void cutsOfTheNetworkDoNotChangeTheBytes() {
    StringBuilder whole = new StringBuilder();
    for (int i = 0; i < 50; i++) {
      whole.append("id: ").append(i).append(i % 2 == 0 ? "\ndata: x\n\n" : "\r\ndata: y\r\n\r\n");
    }
    for (long seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      EventStream cut = new EventStream();
      StringBuilder passed = new StringBuilder();
      int at = 0;
      while (at < whole.length()) {
        int end = Math.min(whole.length(), at + 1 + random.nextInt(40));
        ByteBuf part = Unpooled.copiedBuffer(whole.substring(at, end), StandardCharsets.UTF_8);
        passed.append(cut.append(part).toString(StandardCharsets.UTF_8));
        at = end;
      }
      passed.append(cut.takeRest().toString(StandardCharsets.UTF_8));
      assertThat("bytes with seed " + seed, passed.toString(), is(whole.toString()));
      assertThat(cut.lastEventId(), is(Optional.of("49")));
    }
  }

  private String append(String text) {
    return stream
        .append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
        .toString(StandardCharsets.UTF_8);
  }
}

package io.snipeloom.client;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class FakeLogServiceTest {
  private static final byte[] DATA = {1};

  @Test
  void recordIsWrittenThoughTheResponseIsLost() {
    FakeLogService log = FakeLogService.of(1);
    log.loseResponses(1);
    assertThrows(SnipeloomException.class, () -> log.append("s", DATA));
    assertThat(log.append("s", DATA), is(1L));
    assertThat(log.read("s", 0, 10, Duration.ZERO).records(), hasSize(2));
  }

  @Test
  void unavailableLogWritesNothing() {
    FakeLogService log = FakeLogService.of(1);
    log.setDown(true);
    assertThrows(SnipeloomException.class, () -> log.append("s", DATA));
    assertThrows(SnipeloomException.class, () -> log.read("s", 0, 1, Duration.ZERO));
    log.setDown(false);
    assertThat(log.append("s", DATA), is(0L));
  }

  @Test
  void equalSeedsInjectEqualFaults() {
    assertThat(outcomes(5), is(outcomes(5)));
  }

  @Test
  void oldRecordsAreNotRetained() {
    FakeLogService log = FakeLogService.of(1);
    log.setRetain(1);
    log.append("s", DATA);
    log.append("s", DATA);
    assertThat(log.read("s", 0, 10, Duration.ZERO).firstRetained(), is(1L));
  }

  private static String outcomes(long seed) {
    FakeLogService log = FakeLogService.of(seed);
    log.loseAtRandom(0.3, 0.3);
    StringBuilder outcomes = new StringBuilder();
    for (int i = 0; i < 30; i++) {
      try {
        outcomes.append(log.append("s", DATA)).append(' ');
      } catch (SnipeloomException e) {
        outcomes.append("x ");
      }
    }
    return outcomes.toString();
  }
}

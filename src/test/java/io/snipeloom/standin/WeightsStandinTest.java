package io.snipeloom.standin;

import static io.snipeloom.standin.StandinFixture.SHORT_TIMEOUTS;
import static io.snipeloom.standin.StandinFixture.failureOf;
import static io.snipeloom.standin.StandinFixture.uri;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.snipeloom.client.HttpWeightStore;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class WeightsStandinTest {
  @Test
  void fetchReturnsRequestedRange() {
    WeightsStandin store = WeightsStandin.of(StandinAddress.anyPort(), 100, 1 << 20);
    store.start();
    HttpWeightStore client = HttpWeightStore.of(uri(store.port()), SHORT_TIMEOUTS);
    try {
      assertThat(client.fetch("model-a", 0, 60).length, is(60));
      assertThat(client.fetch("model-a", 60, 60).length, is(40));
      assertThat(client.fetch("model-a", 100, 60).length, is(0));
      assertThat(client.fetch("model-a", 1, 1), is(new WeightFiles(100).range("model-a", 1, 1)));
      assertThat(failureOf(() -> client.fetch("model-a", -1, 1)).getMessage(), is("status 400"));
    } finally {
      client.stop();
      store.stop();
    }
  }

  @Test
  void reservationsAreDelayedAndRejectedBeyondBacklogLimit() {
    AtomicLong nanos = new AtomicLong();
    RateLimit limit = new RateLimit(1_000, nanos::get);
    assertThat(limit.reserve(1_000), is(Duration.ofSeconds(1)));
    assertThat(limit.reserve(2_000), is(Duration.ofSeconds(3)));
    SnipeloomException e = failureOf(() -> limit.reserve(1));
    assertThat(e.code(), is(ErrorCode.OVERLOADED));
    assertThat(e.retryAfterMillis(), greaterThan(2_000L));
    nanos.addAndGet(TimeUnit.SECONDS.toNanos(3));
    assertThat(limit.reserve(1_000), is(Duration.ofSeconds(1)));
  }
}

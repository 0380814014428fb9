package io.snipeloom.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class MetricsTextTest {
  private final MetricRegistry registry = new MetricRegistry();

  @Test
  void metersBecomeCountersAndCountersBecomeGauges() {
    registry.meter("router.requests").mark(3);
    registry.counter("streams.open").inc(2);
    assertThat(
        MetricsText.of(registry),
        is(
            """
            # TYPE snipeloom_streams_open gauge
            snipeloom_streams_open 2
            # TYPE snipeloom_router_requests_total counter
            snipeloom_router_requests_total 3
            """));
  }

  @Test
  void timersBecomeSummariesInSeconds() {
    registry.timer("append").update(500, TimeUnit.MILLISECONDS);
    String text = MetricsText.of(registry);
    assertThat(text, containsString("# TYPE snipeloom_append_seconds summary\n"));
    assertThat(text, containsString("snipeloom_append_seconds{quantile=\"0.99\"} 0.5\n"));
    assertThat(text, containsString("snipeloom_append_seconds_count 1\n"));
  }

  @Test
  void nonNumericGaugesAreOmitted() {
    registry.registerGauge("version", (Gauge<String>) () -> "x");
    assertThat(MetricsText.of(registry), is(""));
  }
}

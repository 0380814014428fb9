package io.snipeloom.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.snipeloom.state.SnipeloomException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.Test;

class TracingTest {
  private static final String TRACE = "0af7651916cd43dd8448eb211c80319c";
  private static final String SAMPLED = "00-" + TRACE + "-b7ad6b7169203331-01";

  private final Collected spans = new Collected();

  @Test
  void spansOfAllHopsShareTheTraceOfTheCaller() {
    Tracing tracing = Tracing.of(SimpleSpanProcessor.create(spans), 0, "router", "router-1");
    TraceSpan request = tracing.start("request", SAMPLED);
    TraceSpan dispatch = request.child("dispatch").with("peer", "sidecar-1");
    Tracing sidecar = Tracing.of(SimpleSpanProcessor.create(spans), 0, "sidecar", "sidecar-1");
    TraceSpan run = sidecar.start("run", dispatch.traceparent());
    run.fail("upstream.failed");
    run.end();
    dispatch.end();
    request.end();
    assertThat(spans.ended, hasSize(3));
    spans.ended.forEach(span -> assertThat(span.getTraceId(), is(TRACE)));
    assertThat(spans.ended.get(0).getParentSpanId(), is(spans.ended.get(1).getSpanId()));
    assertThat(spans.ended.get(1).getParentSpanId(), is(spans.ended.get(2).getSpanId()));
    tracing.stop();
    sidecar.stop();
  }

  @Test
  void contextsArePassedOnWithoutAnExporter() {
    Tracing tracing = Tracing.of(TracingSettings.none(), "router", "router-1");
    assertThat(tracing.start("request", SAMPLED).traceparent(), startsWith("00-" + TRACE));
    tracing.stop();
  }

  @Test
  void noTraceIsStartedWithoutAnExporter() {
    Tracing tracing = Tracing.of(TracingSettings.none(), "router", "router-1");
    assertThat(tracing.start("request", "").traceparent(), is(""));
    assertThat(tracing.start("request", "not a context").traceparent(), is(""));
    tracing.stop();
  }

  @Test
  void traceIsStartedForCallersWithoutContext() {
    Tracing tracing = Tracing.of(SimpleSpanProcessor.create(spans), 1, "router", "router-1");
    TraceSpan request = tracing.start("request", "not a context");
    assertThat(request.traceparent().length(), is(SAMPLED.length()));
    request.end();
    assertThat(spans.ended, hasSize(1));
    tracing.stop();
  }

  @Test
  void exporterWithoutEndpointIsRefused() {
    assertThrows(
        SnipeloomException.class,
        () -> new TracingSettings(TracingSettings.Exporter.OTLP, null, 1));
  }

  private static final class Collected implements SpanExporter {
    private final List<SpanData> ended = new ArrayList<>();

    @Override
    public CompletableResultCode export(Collection<SpanData> batch) {
      ended.addAll(batch);
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
      return CompletableResultCode.ofSuccess();
    }
  }
}

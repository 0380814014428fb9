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
  private static final String TRACE_ID = "0af7651916cd43dd8448eb211c80319c";
  private static final String SAMPLED_TRACEPARENT = "00-" + TRACE_ID + "-b7ad6b7169203331-01";

  private final RecordingExporter exporter = new RecordingExporter();

  @Test
  void spansOfAllProcessesBelongToTheTraceOfTheCaller() {
    Tracing tracing = Tracing.of(SimpleSpanProcessor.create(exporter), 0, "router", "router-1");
    TraceSpan request = tracing.start("request", SAMPLED_TRACEPARENT);
    TraceSpan dispatch = request.child("dispatch").with("peer", "sidecar-1");
    Tracing sidecar = Tracing.of(SimpleSpanProcessor.create(exporter), 0, "sidecar", "sidecar-1");
    TraceSpan run = sidecar.start("run", dispatch.traceparent());
    run.fail("upstream.failed");
    run.end();
    dispatch.end();
    request.end();
    assertThat(exporter.ended, hasSize(3));
    exporter.ended.forEach(span -> assertThat(span.getTraceId(), is(TRACE_ID)));
    assertThat(exporter.ended.get(0).getParentSpanId(), is(exporter.ended.get(1).getSpanId()));
    assertThat(exporter.ended.get(1).getParentSpanId(), is(exporter.ended.get(2).getSpanId()));
    tracing.stop();
    sidecar.stop();
  }

  @Test
  void contextsArePropagatedWithoutAnExporter() {
    Tracing tracing = Tracing.of(TracingSettings.none(), "router", "router-1");
    assertThat(
        tracing.start("request", SAMPLED_TRACEPARENT).traceparent(), startsWith("00-" + TRACE_ID));
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
  void traceIsStartedIfTheCallerHasNoContext() {
    Tracing tracing = Tracing.of(SimpleSpanProcessor.create(exporter), 1, "router", "router-1");
    TraceSpan request = tracing.start("request", "not a context");
    assertThat(request.traceparent().length(), is(SAMPLED_TRACEPARENT.length()));
    request.end();
    assertThat(exporter.ended, hasSize(1));
    tracing.stop();
  }

  @Test
  void otlpExporterRequiresAnEndpoint() {
    assertThrows(
        SnipeloomException.class,
        () -> new TracingSettings(TracingSettings.Exporter.OTLP, null, 1));
  }

  private static final class RecordingExporter implements SpanExporter {
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

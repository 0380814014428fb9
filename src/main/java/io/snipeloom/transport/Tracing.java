package io.snipeloom.transport;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.concurrent.TimeUnit;

/**
 * Starts the spans of one process and exports them as its settings say.
 *
 * <p>Trace contexts travel as W3C {@code traceparent} texts. Without an exporter contexts are
 * passed on but no trace is started. Holds no global state. Thread-safe; stopped once.
 */
public final class Tracing {
  private static final AttributeKey<String> SERVICE_NAME = AttributeKey.stringKey("service.name");
  private static final AttributeKey<String> INSTANCE_ID =
      AttributeKey.stringKey("service.instance.id");
  private static final String LIBRARY = "io.snipeloom";
  private static final long FLUSH_SECONDS = 5;

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  private Tracing(SdkTracerProvider provider) {
    this.provider = provider;
    this.tracer = provider.get(LIBRARY);
  }

  /**
   * Returns the tracing of a process.
   *
   * @param settings where spans go
   * @param service the role of the process, such as {@code router}
   * @param instance the instance
   * @return the tracing
   */
  public static Tracing of(TracingSettings settings, String service, String instance) {
    if (settings.exporter() == TracingSettings.Exporter.NONE) {
      Sampler sampler = Sampler.parentBased(Sampler.alwaysOff());
      return new Tracing(builder(service, instance).setSampler(sampler).build());
    }
    OtlpHttpSpanExporter exporter =
        OtlpHttpSpanExporter.builder().setEndpoint(settings.endpoint().toString()).build();
    SpanProcessor processor = BatchSpanProcessor.builder(exporter).build();
    return of(processor, settings.sampledShare(), service, instance);
  }

  /** Returns the tracing of a process with a processor of spans. */
  static Tracing of(SpanProcessor processor, double share, String service, String instance) {
    Sampler sampler = Sampler.parentBased(Sampler.traceIdRatioBased(share));
    return new Tracing(
        builder(service, instance).setSampler(sampler).addSpanProcessor(processor).build());
  }

  /**
   * Starts a span.
   *
   * @param name the name of the step
   * @param traceparent the W3C trace context of the caller; empty or malformed for a new trace
   * @return the span
   */
  public TraceSpan start(String name, String traceparent) {
    Context parent = TraceContext.parse(traceparent);
    return new TraceSpan(tracer, tracer.spanBuilder(name).setParent(parent).startSpan());
  }

  /** Exports what has ended and stops. */
  public void stop() {
    provider.shutdown().join(FLUSH_SECONDS, TimeUnit.SECONDS);
  }

  private static SdkTracerProviderBuilder builder(String service, String instance) {
    Resource resource =
        Resource.builder().put(SERVICE_NAME, service).put(INSTANCE_ID, instance).build();
    return SdkTracerProvider.builder().setResource(resource);
  }
}

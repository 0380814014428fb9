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
 * Starts the spans of one process and exports them according to its settings.
 *
 * <p>Trace contexts are propagated as W3C {@code traceparent} headers. Without an exporter,
 * contexts of callers are propagated but no new trace is started. Has no global state. Thread-safe;
 * can be stopped once.
 */
public final class Tracing {
  private static final AttributeKey<String> SERVICE_NAME = AttributeKey.stringKey("service.name");
  private static final AttributeKey<String> INSTANCE_ID =
      AttributeKey.stringKey("service.instance.id");
  private static final String LIBRARY = "io.snipeloom";
  private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  private Tracing(SdkTracerProvider provider) {
    this.provider = provider;
    this.tracer = provider.get(LIBRARY);
  }

  /**
   * Creates the tracing of a process.
   *
   * @param settings the exporter and the sampling
   * @param service the role of the process, such as {@code router}
   * @param instance the id of the instance
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

  /** Creates tracing that passes the sampled spans to the given processor. */
  static Tracing of(SpanProcessor processor, double sampledShare, String service, String instance) {
    Sampler sampler = Sampler.parentBased(Sampler.traceIdRatioBased(sampledShare));
    return new Tracing(
        builder(service, instance).setSampler(sampler).addSpanProcessor(processor).build());
  }

  /**
   * Starts a span.
   *
   * @param name the name of the span
   * @param traceparent the W3C trace context of the caller; if null, empty or malformed, the span
   *     starts a new trace
   */
  public TraceSpan start(String name, String traceparent) {
    Context parent = TraceContext.parse(traceparent);
    return new TraceSpan(tracer, tracer.spanBuilder(name).setParent(parent).startSpan());
  }

  /** Stops, waiting up to 5 seconds for the export of ended spans. */
  public void stop() {
    provider.shutdown().join(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static SdkTracerProviderBuilder builder(String service, String instance) {
    Resource resource =
        Resource.builder().put(SERVICE_NAME, service).put(INSTANCE_ID, instance).build();
    return SdkTracerProvider.builder().setResource(resource);
  }
}

package io.snipeloom.transport;

import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import java.util.List;

/** Parses and formats W3C trace contexts. Stateless. */
final class TraceContext {
  private static final String HEADER = "traceparent";
  private static final W3CTraceContextPropagator PROPAGATOR =
      W3CTraceContextPropagator.getInstance();

  private TraceContext() {}

  /** Parses a trace context. Returns the root context if the text is null, empty or malformed. */
  static Context parse(String traceparent) {
    return PROPAGATOR.extract(Context.root(), traceparent, new Getter());
  }

  /** Returns a context as {@code traceparent} text; empty if it contains no valid span. */
  static String format(Context context) {
    StringBuilder text = new StringBuilder();
    PROPAGATOR.inject(
        context,
        text,
        (carrier, key, value) -> {
          if (key.equals(HEADER)) {
            carrier.append(value);
          }
        });
    return text.toString();
  }

  @SuppressWarnings("deprecation")
  private static final class Getter implements TextMapGetter<String> {

    @Override
    public Iterable<String> keys(String traceparent) {
      return List.of(HEADER);
    }

    @Override
    public String get(String traceparent, String key) {
      return key.equals(HEADER) && traceparent != null && !traceparent.isEmpty()
          ? traceparent
          : null;
    }
  }
}

package io.snipeloom.transport;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;

/**
 * One step of a request in a trace.
 *
 * <p>Thread-safe; ended once, by the owner of the step.
 */
public final class TraceSpan {
  private final Tracer tracer;
  private final Span span;

  TraceSpan(Tracer tracer, Span span) {
    this.tracer = tracer;
    this.span = span;
  }

  /**
   * Starts a span for a step within this one.
   *
   * @param name the name of the step
   * @return the span
   */
  public TraceSpan child(String name) {
    return new TraceSpan(tracer, tracer.spanBuilder(name).setParent(context()).startSpan());
  }

  /**
   * Returns the W3C trace context for the next hop.
   *
   * @return the text for the header {@code traceparent}; empty if there is no trace
   */
  public String traceparent() {
    return TraceContext.format(context());
  }

  /**
   * Adds an attribute.
   *
   * @param key the key, in lower case with dots
   * @param value the value, without secrets
   * @return this span
   */
  public TraceSpan with(String key, String value) {
    span.setAttribute(key, value);
    return this;
  }

  /**
   * Marks the step as failed.
   *
   * @param code the error code in text form
   */
  public void fail(String code) {
    span.setStatus(StatusCode.ERROR, code);
  }

  /** Ends the step. */
  public void end() {
    span.end();
  }

  private Context context() {
    return Context.root().with(span);
  }
}

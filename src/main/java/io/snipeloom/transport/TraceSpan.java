package io.snipeloom.transport;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;

/**
 * A span of a trace: one step of a request.
 *
 * <p>Thread-safe. The code that started the span must end it exactly once.
 */
public final class TraceSpan {
  private final Tracer tracer;
  private final Span span;

  TraceSpan(Tracer tracer, Span span) {
    this.tracer = tracer;
    this.span = span;
  }

  /**
   * Starts a child span.
   *
   * @param name the name of the child span
   */
  public TraceSpan child(String name) {
    return new TraceSpan(tracer, tracer.spanBuilder(name).setParent(context()).startSpan());
  }

  /**
   * Returns the W3C trace context to send with requests made during this span.
   *
   * @return the value of the {@code traceparent} header; empty if there is no trace
   */
  public String traceparent() {
    return TraceContext.format(context());
  }

  /**
   * Sets an attribute.
   *
   * @param key the key, in lower case with words separated by dots
   * @param value the value; it must not contain secrets
   * @return this span
   */
  public TraceSpan with(String key, String value) {
    span.setAttribute(key, value);
    return this;
  }

  /**
   * Marks the span as failed.
   *
   * @param code the text form of the error code
   */
  public void fail(String code) {
    span.setStatus(StatusCode.ERROR, code);
  }

  /** Ends the span. */
  public void end() {
    span.end();
  }

  private Context context() {
    return Context.root().with(span);
  }
}

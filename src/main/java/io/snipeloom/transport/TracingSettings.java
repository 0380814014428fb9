package io.snipeloom.transport;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.net.URI;

/**
 * Settings for the sampling and export of spans.
 *
 * @param exporter the exporter, or {@link Exporter#NONE}
 * @param endpoint the URL of the collector; may be null without an exporter
 * @param sampledShare the fraction of new traces that are recorded, from 0 to 1
 */
public record TracingSettings(Exporter exporter, URI endpoint, double sampledShare) {
  private static final TracingSettings NONE = new TracingSettings(Exporter.NONE, null, 0);

  /** Checks that an OTLP exporter has an endpoint and that the fraction is between 0 and 1. */
  public TracingSettings {
    if (exporter == Exporter.OTLP && endpoint == null) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_SETTINGS, "/tracing/endpoint is required for the exporter OTLP");
    }
    if (!(sampledShare >= 0 && sampledShare <= 1)) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_SETTINGS, "/tracing/sampledShare must be between 0 and 1");
    }
  }

  /** Returns settings that export no spans but still propagate trace contexts. */
  public static TracingSettings none() {
    return NONE;
  }

  /** The available exporters. */
  public enum Exporter {
    NONE,
    OTLP
  }
}

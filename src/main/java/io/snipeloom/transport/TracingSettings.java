package io.snipeloom.transport;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.net.URI;

/**
 * Where the spans of a process go.
 *
 * @param exporter the exporter
 * @param endpoint the address of the collector; null without an exporter
 * @param sampledShare the share of new traces that are recorded, from 0 to 1
 */
public record TracingSettings(Exporter exporter, URI endpoint, double sampledShare) {
  private static final TracingSettings NONE = new TracingSettings(Exporter.NONE, null, 0);

  /** Checks that an exporter has its endpoint. */
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

  /**
   * Returns settings that record nothing but pass trace contexts on.
   *
   * @return the settings
   */
  public static TracingSettings none() {
    return NONE;
  }

  /** The exporters. */
  public enum Exporter {
    NONE,
    OTLP
  }
}

package io.snipeloom.edge;

import io.snipeloom.resumption.DeclaredOrigin;
import io.snipeloom.resumption.StreamContinuity;
import io.snipeloom.resumption.StreamOrigin;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;

/** Logs and counts what happens to the recorded origins of streams. Thread-safe. */
final class OriginEventLogger implements StreamContinuity.Listener {
  private final EventLog log;
  private final FleetMetrics metrics;

  OriginEventLogger(EventLog log, FleetMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  @Override
  public void onRecorded(long total) {
    metrics.count("stream_origin_recordings");
    log.log("stream_origins_recorded", "total", total);
  }

  @Override
  public void onRecordingFailed(int streams) {
    metrics.count("stream_origin_recordings_failed");
    log.log("stream_origins_not_recorded", "streams", streams);
  }

  @Override
  public void onReadFailed() {
    metrics.count("stream_origin_reads_failed");
    log.log("stream_origins_not_read");
  }

  @Override
  public void onDeclaration(StreamOrigin origin, boolean declared) {
    metrics.count(declared ? "stream_versions_declared" : "stream_versions_not_declared");
    log.log(
        "stream_version",
        "service",
        origin.service(),
        "version",
        origin.version(),
        "declared",
        declared);
  }

  @Override
  public void onRetired(DeclaredOrigin declared, boolean removed) {
    metrics.count(removed ? "stream_versions_retired" : "stream_versions_not_retired");
    log.log(
        "stream_version_retired",
        "service",
        declared.origin().service(),
        "version",
        declared.origin().version(),
        "incarnation",
        declared.incarnation(),
        "removed",
        removed);
  }

  /** Logs a record that another instance wrote and that cannot be decoded. */
  void onMalformed(String key) {
    log.log("stream_origins_refused", "key", key);
  }
}

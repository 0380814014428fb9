package io.snipeloom.edge;

import io.snipeloom.crashes.Conviction;
import io.snipeloom.crashes.CrashControl;
import io.snipeloom.crashes.CrashReport;
import io.snipeloom.crashes.EvidenceBatch;
import io.snipeloom.crashes.ReplicaIncarnation;
import io.snipeloom.crashes.RequestTrait;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;
import java.util.List;
import java.util.stream.Collectors;

/** Logs and counts convictions and what they rest on. Confined to the event loop thread. */
final class CrashEventLogger implements CrashControl.Listener {
  /** The most crashes under requests that a line names, which bounds its length. */
  private static final int MAX_LOGGED_CRASHES = 16;

  private final EventLog log;
  private final FleetMetrics metrics;
  private final Runnable onConvicted;

  /**
   * Creates a logger.
   *
   * @param onConvicted called after each conviction
   */
  CrashEventLogger(EventLog log, FleetMetrics metrics, Runnable onConvicted) {
    this.log = log;
    this.metrics = metrics;
    this.onConvicted = onConvicted;
  }

  @Override
  public void onConvicted(Conviction conviction) {
    metrics.count("convictions");
    log.log(
        "convicted",
        "trait",
        conviction.trait(),
        "crashes",
        conviction.crashes(),
        "decided_at",
        conviction.decidedAtMillis());
    onConvicted.run();
  }

  @Override
  public void onConvictionEnded(RequestTrait trait, CrashControl.EndReason reason) {
    metrics.count("convictions_ended");
    log.log("conviction_ended", "trait", trait, "reason", reason);
  }

  @Override
  public void onCrash(CrashReport report) {
    metrics.count("replica_crashes");
    log.log("replica_crashed", "replica", report.replica(), "suspects", text(report));
  }

  @Override
  public void onRequestCrash(RequestTrait request, ReplicaIncarnation replica, int crashes) {
    metrics.count("request_crashes");
    log.log("request_crashed", "trait", request, "replica", replica.id(), "crashes", crashes);
  }

  @Override
  public void onTrial(RequestTrait request, boolean granted) {
    metrics.count(granted ? "request_trials" : "request_trials_refused");
    log.log("request_trial", "trait", request, "granted", granted);
  }

  @Override
  public void onEvidence(String instance, EvidenceBatch batch) {
    for (CrashReport report : batch.crashes()) {
      log.log(
          "crash_evidence",
          "instance",
          instance,
          "replica",
          report.replica(),
          "age_ms",
          report.ageMillis(),
          "suspects",
          text(report));
    }
    if (!batch.requestCrashes().isEmpty()) {
      log.log(
          "request_crash_evidence",
          "instance",
          instance,
          "crashes",
          batch.requestCrashes().stream()
              .map(crash -> crash.request() + "@" + crash.replica())
              .limit(MAX_LOGGED_CRASHES)
              .collect(Collectors.joining(",")),
          "count",
          batch.requestCrashes().size());
    }
    if (!batch.completions().isEmpty()) {
      log.log("completion_evidence", "instance", instance, "requests", batch.completions().size());
    }
    if (!batch.sound().isEmpty()) {
      log.log("sound_evidence", "instance", instance, "traits", batch.sound().size());
    }
  }

  @Override
  public void onConvictionNotStored(int convictions) {
    metrics.count("convictions_not_stored");
    log.log("convictions_not_stored", "convictions", convictions);
  }

  @Override
  public void onEvidenceNotStored(int crashes) {
    metrics.count("crash_evidence_not_stored");
    log.log("crash_evidence_not_stored", "crashes", crashes);
  }

  private static String text(CrashReport report) {
    List<String> traits =
        report.suspects().stream().map(suspect -> suspect.trait().toString()).toList();
    return traits.stream().collect(Collectors.joining(","));
  }
}

package io.snipeloom.forwarding;

import io.snipeloom.routing.ColdReport;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.routing.ResponseMetadata;
import io.snipeloom.routing.StatedLimit;
import io.snipeloom.routing.StatedPause;

/**
 * Records what the head of a response says of the replica that sent it.
 *
 * @param view the replica
 * @param log the log lines of the request
 * @param sentNanos when the request was sent, as {@link System#nanoTime}
 * @param receivedNanos when the head was received
 */
record ReplicaStatements(ReplicaView view, ExchangeLog log, long sentNanos, long receivedNanos) {
  /** The status with which another replica answers that is at the address now. */
  private static final int ANOTHER_REPLICA_STATUS = 421;

  /**
   * Records whether the replica wants requests, which holds whatever request it answers.
   *
   * @param status the status of the response
   * @param metadata the metadata in its headers
   */
  void recordWillingness(int status, ResponseMetadata metadata) {
    if (status == ANOTHER_REPLICA_STATUS) {
      return;
    }
    if (metadata.leaving() && view.willingness().onLeaving()) {
      log.replicaLeaving(view.replica().id());
    }
    if (metadata.pause().kind() != StatedPause.Kind.NONE) {
      view.willingness().onPause(metadata.pause(), receivedNanos);
      log.replicaPauses(view.replica().id(), metadata.pause());
    }
  }

  /** Records the load, the limit and the coldness that the replica states. */
  void recordState(ResponseMetadata metadata) {
    metadata.load().ifPresent(this::recordLoad);
    recordLimit(metadata.limit());
    recordCold(metadata.cold());
  }

  private void recordLoad(ResponseMetadata.Load load) {
    view.load().onReport(load.running(), load.waiting(), receivedNanos);
    load.pacePercent().ifPresent(percent -> view.costs().pace().onStated(percent, receivedNanos));
  }

  /** Logs a limit of the replica if it differs from the one that it stated last. */
  private void recordLimit(StatedLimit limit) {
    StatedLimit before = view.limit().stated();
    view.limit().onStated(limit, sentNanos, receivedNanos);
    if (!limit.equals(before)) {
      log.replicaLimit(view.replica().id(), before, limit);
    }
  }

  /** Records how long the replica stays cold, and logs it if it was not known to be cold. */
  private void recordCold(ColdReport report) {
    long before = view.limit().coldMillis(receivedNanos);
    view.limit().onColdReport(report, sentNanos, receivedNanos);
    if (report.isCold() && before == 0) {
      log.replicaCold(view.replica().id(), report);
    }
  }
}

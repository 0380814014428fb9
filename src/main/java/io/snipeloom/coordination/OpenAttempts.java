package io.snipeloom.coordination;

import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.Incarnation;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Counts the open attempts of a router at each sidecar incarnation, and reports a lost incarnation
 * as drained once all of them are settled.
 *
 * <p>In the log, the report follows the settlement estimates of the attempts, since both are
 * appended by the same writer. Thread-safe. Must be registered with the replica as a listener.
 */
public final class OpenAttempts implements DecisionListener {
  private final Incarnation self;
  private final RecordSink records;
  private final Map<Incarnation, Integer> open = new HashMap<>();
  private final Set<Incarnation> lost = new HashSet<>();

  /**
   * Creates an instance without open attempts.
   *
   * @param self the incarnation of this router
   * @param records the sink for the reports
   */
  public OpenAttempts(Incarnation self, RecordSink records) {
    this.self = self;
    this.records = records;
  }

  /** Registers an attempt that is about to be sent. */
  synchronized void begin(Incarnation sidecar) {
    open.merge(sidecar, 1, Integer::sum);
  }

  /** Registers the end of an attempt whose settlement or estimate was passed to the writer. */
  synchronized void end(Incarnation sidecar) {
    if (open.merge(sidecar, -1, Integer::sum) == 0) {
      open.remove(sidecar);
    }
    reportIfDrained(sidecar);
  }

  @Override
  public synchronized void onEvent(DecisionEvent event) {
    if (event instanceof DecisionEvent.SidecarLost gone) {
      lost.add(gone.sidecar());
      reportIfDrained(gone.sidecar());
    }
  }

  private void reportIfDrained(Incarnation sidecar) {
    if (!open.containsKey(sidecar) && lost.remove(sidecar)) {
      records.append(List.of(new DecisionRecord.HolderDrained(self, sidecar)));
    }
  }
}

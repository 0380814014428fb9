package io.snipeloom.routing;

import io.snipeloom.cost.RunningOutput;
import java.util.Arrays;

/**
 * A model request that a replica runs: what becomes of it teaches the pace of the replica, and what
 * is left of it counts as work. Not thread-safe.
 */
public final class TrackedRequest {
  /** The gaps between events from which the pace of output is observed. */
  private static final int OBSERVED_GAPS = 8;

  /**
   * The gap that shows the pace, by length: longer ones include prompts of other requests, and the
   * shortest ones are of events that arrived together.
   */
  private static final int PACE_GAP = 2;

  private final FleetCosts costs;
  private final ReplicaView view;
  private final RunningOutput output;
  private final double tokensAhead;
  private final long sentNanos;
  private final double[] gapNanos = new double[OBSERVED_GAPS];
  private int gaps;
  private int events;
  private long firstEventNanos;
  private long lastEventNanos;
  private boolean begun;

  TrackedRequest(
      FleetCosts costs,
      ReplicaView view,
      RunningOutput output,
      double tokensAhead,
      long sentNanos) {
    this.costs = costs;
    this.view = view;
    this.output = output;
    this.tokensAhead = tokensAhead;
    this.sentNanos = sentNanos;
  }

  /**
   * Records events of the stream.
   *
   * @param eventsSoFar the number of events that the replica sent so far
   * @param nowNanos the current time
   */
  public void onEvents(int eventsSoFar, long nowNanos) {
    output.onOutput((double) eventsSoFar * view.costs().tokensPerEvent());
    if (!begun) {
      begun = true;
      firstEventNanos = nowNanos;
      costs.onFirstEvent(view, tokensAhead, nowNanos - sentNanos, nowNanos);
    } else if (eventsSoFar > events) {
      recordGap((double) (nowNanos - lastEventNanos) / (eventsSoFar - events), nowNanos);
    }
    events = eventsSoFar;
    lastEventNanos = nowNanos;
  }

  private void recordGap(double nanos, long nowNanos) {
    gapNanos[gaps++] = nanos;
    if (gaps < OBSERVED_GAPS) {
      return;
    }
    gaps = 0;
    double mean = Arrays.stream(gapNanos).average().orElse(0);
    Arrays.sort(gapNanos);
    costs.onOutput(view, gapNanos[PACE_GAP], mean, nowNanos);
  }

  /** Takes the request out of the work of the replica. */
  public void onEnded() {
    output.end();
  }

  /** Returns the time from sending the request to its first event; 0 if there was none. */
  public long firstEventNanos() {
    return begun ? firstEventNanos - sentNanos : 0;
  }

  /** Returns the output so far, in tokens. */
  public double outputTokens() {
    return output.produced();
  }

  /** Returns the output that was estimated when the request was sent, in tokens. */
  public double estimatedTokens() {
    return output.estimate();
  }
}

package io.snipeloom.edge;

import io.snipeloom.forwarding.Fleet;
import io.snipeloom.forwarding.ProxyServer;
import io.snipeloom.telemetry.EventLog;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The end of an instance within its grace period: open requests are finished, unused tokens are
 * returned, and what has to last is stored.
 *
 * <p>{@link #await} may be called from any thread; everything else is confined to the event loop
 * thread.
 */
final class Drain {
  /**
   * Time during which a draining instance still accepts connections. The load balancer stops
   * sending new ones only after two failed readiness probes, one second apart. After this time the
   * listener closes, so that the remaining requests can finish before the process is killed.
   */
  private static final long ACCEPT_NANOS = 2_600_000_000L;

  /**
   * How long to wait, after the last request, for the store to accept what has to last. If the
   * store does not respond in this time, the next incarnation inherits the tokens; restarting at
   * once makes the instance available sooner than waiting longer.
   */
  private static final long STORE_TIMEOUT_NANOS = 800_000_000L;

  /** Part of the grace period reserved for writing the last responses and log lines. */
  private static final double MARGIN_SECONDS = 0.4;

  /** Part of the grace period in which the process ends, whatever is not written yet. */
  private static final double END_SECONDS = 0.25;

  private static final double NANOS_PER_SECOND = 1e9;

  private final double graceSeconds;
  private final Fleet fleet;
  private final ProxyServer proxyServer;
  private final EventLog log;
  private final CountDownLatch completed = new CountDownLatch(1);
  private boolean begun;
  private boolean listenerClosing;
  private boolean listenerClosed;
  private boolean lastAnswersSent;
  private long beginNanos;
  private long lastOpenRequestNanos;

  /**
   * Creates a drain that has not begun.
   *
   * @param graceSeconds the time from the signal to stop to the kill, in seconds
   * @param fleet decides which requests are still sent
   * @param proxyServer serves the callers
   * @param log records the steps
   */
  Drain(double graceSeconds, Fleet fleet, ProxyServer proxyServer, EventLog log) {
    this.graceSeconds = graceSeconds;
    this.fleet = fleet;
    this.proxyServer = proxyServer;
    this.log = log;
  }

  boolean isBegun() {
    return begun;
  }

  /** Begins to drain; another call has no effect. */
  void begin(long nowNanos) {
    if (begun) {
      return;
    }
    begun = true;
    beginNanos = nowNanos;
    log.log("drain", "open_requests", proxyServer.openRequests());
    fleet.beginShutdown(nowNanos + ACCEPT_NANOS, nowNanos + nanosBefore(MARGIN_SECONDS));
    proxyServer.drain();
  }

  /** Blocks until the drain is completed, at most for the grace period. */
  void await() throws InterruptedException {
    boolean unused =
        completed.await((long) (graceSeconds * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
  }

  /** Returns the time from the signal to a moment before the end of the grace period. */
  private long nanosBefore(double seconds) {
    return (long) (Math.max(0, graceSeconds - seconds) * NANOS_PER_SECOND);
  }

  /** Takes the steps that are due. */
  void tick(long nowNanos) {
    long elapsedNanos = nowNanos - beginNanos;
    if (!begun || completed.getCount() == 0 || elapsedNanos < ACCEPT_NANOS) {
      return;
    }
    closeListener(nowNanos);
    proxyServer.closeIdle();
    if (proxyServer.openRequests() > 0) {
      lastOpenRequestNanos = nowNanos;
    }
    if (isIdle(nowNanos) || (lastAnswersSent && isWritten(elapsedNanos))) {
      completed.countDown();
    } else if (!lastAnswersSent && elapsedNanos > nanosBefore(MARGIN_SECONDS)) {
      lastAnswersSent = true;
      log.log("last_answers", "open_requests", proxyServer.openRequests());
      proxyServer.endBeforeShutdown();
    }
  }

  /** Returns whether the last answers are written, or cannot be waited for any longer. */
  private boolean isWritten(long elapsedNanos) {
    return !proxyServer.hasUnwrittenAnswers() || elapsedNanos > nanosBefore(END_SECONDS);
  }

  private void closeListener(long nowNanos) {
    if (!listenerClosing) {
      listenerClosing = true;
      lastOpenRequestNanos = nowNanos;
      proxyServer.stopAccepting();
      fleet.spend().returnAll(nowNanos);
    }
    if (!listenerClosed && !proxyServer.isListening()) {
      listenerClosed = true;
      log.log("stopped_accepting", "open_requests", proxyServer.openRequests());
    }
  }

  private boolean isIdle(long nowNanos) {
    boolean stored = fleet.spend().isSettled() && fleet.streams().isRecorded();
    boolean overdue = nowNanos - lastOpenRequestNanos > STORE_TIMEOUT_NANOS;
    return proxyServer.openRequests() == 0 && (stored || overdue);
  }
}

package io.snipeloom.edge;

import io.netty.channel.EventLoop;
import io.snipeloom.state.Moment;
import io.snipeloom.store.TopicWatch;
import io.snipeloom.telemetry.EventLog;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Schedules tasks on an event loop and reads the clocks. A task that throws is logged; a periodic
 * one keeps running.
 *
 * <p>Thread-safe.
 */
final class LoopTimer implements TopicWatch.Timer {
  private final EventLoop loop;
  private final EventLog log;

  LoopTimer(EventLoop loop, EventLog log) {
    this.loop = loop;
    this.log = log;
  }

  @Override
  public Moment now() {
    return new Moment(System.nanoTime(), System.currentTimeMillis());
  }

  @Override
  public void after(Runnable task, long delayMillis) {
    Future<?> unused = loop.schedule(logFailures(task), delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Runs a task repeatedly; the delay counts from the end of one run to the start of the next. */
  void every(Runnable task, long initialDelayMillis, long delayMillis) {
    Future<?> unused =
        loop.scheduleWithFixedDelay(
            logFailures(task), initialDelayMillis, delayMillis, TimeUnit.MILLISECONDS);
  }

  private Runnable logFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException | StackOverflowError e) {
        log.log("task_failed", "reason", e, "at", e.getStackTrace()[0]);
      }
    };
  }
}

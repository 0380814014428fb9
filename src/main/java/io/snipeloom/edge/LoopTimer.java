package io.snipeloom.edge;

import io.netty.channel.EventLoop;
import io.snipeloom.store.TopicWatch;
import io.snipeloom.telemetry.EventLog;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks later on an event loop; a task that fails is logged and does not end the series.
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
  public void after(Runnable task, long delayMillis) {
    Future<?> unused = loop.schedule(guarded(task), delayMillis, TimeUnit.MILLISECONDS);
  }

  void every(Runnable task, long firstMillis, long periodMillis) {
    Future<?> unused =
        loop.scheduleWithFixedDelay(
            guarded(task), firstMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  private Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        log.log("task_failed", "reason", e, "at", e.getStackTrace()[0]);
      }
    };
  }
}

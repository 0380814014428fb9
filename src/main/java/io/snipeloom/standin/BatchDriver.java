package io.snipeloom.standin;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Runs the steps of an engine at a fixed interval in its own thread and simulates the outage after
 * a crash.
 */
final class BatchDriver {
  private static final int CRASH_EXIT_CODE = 70;

  private final EngineSettings settings;
  private final BatchEngine engine;
  private final Connections connections;
  private final Thread thread;

  private volatile boolean stopped;

  BatchDriver(EngineSettings settings, BatchEngine engine, Connections connections) {
    this.settings = settings;
    this.engine = engine;
    this.connections = connections;
    this.thread = new Thread(this::run, "engine-batch");
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  void stop() {
    stopped = true;
    thread.interrupt();
  }

  private void run() {
    long stepNanos = TimeUnit.MILLISECONDS.toNanos(settings.tokenMillis());
    try {
      while (!stopped) {
        engine.awaitWork();
        long nextStepAt = System.nanoTime() + stepNanos;
        if (!engine.step()) {
          crash();
        }
        parkUntil(nextStepAt);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void parkUntil(long deadline) {
    long remainingNanos = deadline - System.nanoTime();
    while (remainingNanos > 0 && !stopped) {
      LockSupport.parkNanos(remainingNanos);
      remainingNanos = deadline - System.nanoTime();
    }
  }

  private void crash() throws InterruptedException {
    if (settings.crashExits()) {
      Runtime.getRuntime().halt(CRASH_EXIT_CODE);
    }
    connections.refuse(true);
    connections.closeAll();
    Thread.sleep(settings.crashDownMillis());
    connections.refuse(false);
  }
}

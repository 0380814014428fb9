package io.snipeloom.standin;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Steps an engine at its pace in a thread of its own, and takes it down after a crash. */
final class BatchDriver {
  private static final int EXIT_CRASHED = 70;

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
        long next = System.nanoTime() + stepNanos;
        if (!engine.step()) {
          crash();
        }
        parkUntil(next);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void parkUntil(long deadline) {
    long left = deadline - System.nanoTime();
    while (left > 0 && !stopped) {
      LockSupport.parkNanos(left);
      left = deadline - System.nanoTime();
    }
  }

  private void crash() throws InterruptedException {
    if (settings.crashExits()) {
      Runtime.getRuntime().halt(EXIT_CRASHED);
    }
    connections.refuse(true);
    connections.closeAll();
    Thread.sleep(settings.crashDownMillis());
    connections.refuse(false);
  }
}

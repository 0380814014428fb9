package io.snipeloom.coordination;

import com.codahale.metrics.Gauge;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Routes the requests of one router and counts the open ones.
 *
 * <p>Thread-safe. {@link #drain} refuses new requests and waits for the open ones.
 */
public final class RequestRouter {
  private static final Duration LEAVING_RETRY_AFTER = Duration.ofSeconds(1);

  private final RouterContext context;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition idle = lock.newCondition();
  private int open;
  private boolean draining;

  /**
   * Creates a router.
   *
   * @param context the objects shared by all requests of the router
   */
  public RequestRouter(RouterContext context) {
    this.context = context;
    context.metrics().register("router.open_requests", (Gauge<Integer>) this::openRequests);
  }

  /**
   * Starts processing a request.
   *
   * @param sink receives the answer or the error
   * @return cancels the request; to be run if the caller disconnects
   */
  public Runnable submit(CallerRequest request, AnswerSink sink) {
    if (!tryOpen()) {
      sink.onError(
          SnipeloomException.of(
                  ErrorCode.LEAVING, "the router is leaving and takes no new requests")
              .withOrigin("admit", context.self().value())
              .withRetryAfter(LEAVING_RETRY_AFTER));
      return () -> {};
    }
    RequestFlow flow = new RequestFlow(context, request, sink, this::close);
    flow.start();
    return flow::cancel;
  }

  /**
   * Refuses new requests and waits for the open ones.
   *
   * @param timeout the maximum time to wait
   * @return true if no request is open
   */
  public boolean drain(Duration timeout) {
    lock.lock();
    try {
      draining = true;
      long remainingNanos = timeout.toNanos();
      while (open > 0 && remainingNanos > 0) {
        remainingNanos = idle.awaitNanos(remainingNanos);
      }
      return open == 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns whether new requests are refused.
   *
   * @return true once {@link #drain} was called
   */
  public boolean isDraining() {
    lock.lock();
    try {
      return draining;
    } finally {
      lock.unlock();
    }
  }

  /** Returns the number of open requests. */
  public int openRequests() {
    lock.lock();
    try {
      return open;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the deadline of a request that arrives now.
   *
   * @param timeout the time allowed for the request
   * @return the deadline on the monotonic clock, in nanoseconds
   */
  public long deadlineNanos(Duration timeout) {
    return context.nowNanos() + TimeUnit.MILLISECONDS.toNanos(timeout.toMillis());
  }

  private boolean tryOpen() {
    lock.lock();
    try {
      if (draining) {
        return false;
      }
      open++;
      return true;
    } finally {
      lock.unlock();
    }
  }

  private void close() {
    lock.lock();
    try {
      open--;
      if (open == 0) {
        idle.signalAll();
      }
    } finally {
      lock.unlock();
    }
  }
}

package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.LogLine;
import io.snipeloom.state.SnipeloomException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;

/**
 * Sends orders to the engine, one at a time and in the order of their fencing numbers.
 *
 * <p>An order whose number is not higher than all earlier ones is dropped, so that an engine that
 * does not check fencing numbers is protected as well. Confined to one executor.
 */
final class OrderQueue {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final BackEndClient backEnd;
  private final Executor executor;
  private final MetricRegistry metrics;
  private final Deque<Order> waiting = new ArrayDeque<>();
  private long highestNumber = -1;
  private boolean inProgress;
  private boolean fenced;

  OrderQueue(BackEndClient backEnd, Executor executor, MetricRegistry metrics) {
    this.backEnd = backEnd;
    this.executor = executor;
    this.metrics = metrics;
  }

  void add(long fencingNumber, EngineOrder order) {
    if (fenced || fencingNumber <= highestNumber) {
      metrics.meter("sidecar.orders.fenced").mark();
      return;
    }
    highestNumber = fencingNumber;
    waiting.addLast(new Order(fencingNumber, order));
  }

  /** Drops all waiting and future orders, because a later incarnation sends them now. */
  void fence() {
    fenced = true;
    waiting.clear();
  }

  /** Sends the next order, unless one is in progress. */
  void sendNext() {
    if (inProgress || waiting.isEmpty()) {
      return;
    }
    Order order = waiting.peekFirst();
    inProgress = true;
    var unused =
        backEnd
            .order(order.fencingNumber(), order.order())
            .handleAsync(
                (done, error) -> {
                  onAnswered(order, error);
                  return null;
                },
                executor);
  }

  private void onAnswered(Order order, Throwable error) {
    inProgress = false;
    boolean refused = isFenced(error);
    if (error == null || refused) {
      waiting.remove(order);
    }
    metrics.meter(error == null ? "sidecar.orders.done" : "sidecar.orders.failed").mark();
    logger.atInfo().log(
        "%s",
        LogLine.of("order.answered")
            .with("fencing", order.fencingNumber())
            .with("action", order.order().action())
            .with("result", error == null ? "done" : refused ? "fenced" : "retried"));
    if (error == null) {
      sendNext();
    }
  }

  private static boolean isFenced(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    return cause instanceof SnipeloomException e && e.code() == ErrorCode.FENCED;
  }

  /** An order with its fencing number. */
  private record Order(long fencingNumber, EngineOrder order) {}
}

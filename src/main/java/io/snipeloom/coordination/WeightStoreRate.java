package io.snipeloom.coordination;

import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.InstanceId;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Limits the rate at which the whole fleet loads weights from the weight store. It is a token
 * bucket from which each order in the log takes one token.
 *
 * @param burst the maximum number of loads that may start at once, at least 1
 * @param period the time after which one more load may start
 */
public record WeightStoreRate(int burst, Duration period) {

  /** Checks that the burst and the period are positive. */
  public WeightStoreRate {
    if (burst < 1 || period.isNegative() || period.isZero()) {
      throw new IllegalArgumentException("burst and period must be positive");
    }
  }

  /**
   * Returns the number of loads that may start now. An order equal to the previous order for the
   * same slot loads nothing and takes no token.
   *
   * @param issued the orders in the log, in log order
   * @param nowNanos the current time in nanoseconds
   */
  public int available(List<OrderPlanner.Issued> issued, long nowNanos) {
    Map<InstanceId, EngineOrder> latest = new HashMap<>();
    double tokens = burst;
    long last = nowNanos;
    boolean first = true;
    for (OrderPlanner.Issued order : issued) {
      if (Objects.equals(latest.put(order.target(), order.order()), order.order())) {
        continue;
      }
      tokens = first ? burst : refilled(tokens, order.seenNanos() - last);
      tokens -= 1;
      last = order.seenNanos();
      first = false;
    }
    return (int) Math.floor(Math.max(0, refilled(tokens, nowNanos - last)));
  }

  private double refilled(double tokens, long elapsedNanos) {
    return Math.min(burst, tokens + Math.max(0, elapsedNanos) / (double) period.toNanos());
  }
}

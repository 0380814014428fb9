package io.snipeloom.coordination;

import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.InstanceId;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The rate at which the whole fleet may load from the weight store: a token bucket whose
 * withdrawals are the orders in the log.
 *
 * @param burst the loads that may start at once, at least 1
 * @param period the time after which one more load may start
 */
public record WeightStoreRate(int burst, Duration period) {

  /** Checks the burst. */
  public WeightStoreRate {
    if (burst < 1 || period.isNegative() || period.isZero()) {
      throw new IllegalArgumentException("burst and period must be positive");
    }
  }

  /**
   * Returns the loads that may start now. An order that repeats the one before it at the same slot
   * loads nothing and is not counted.
   *
   * @param issued the orders in the log, in the order of the log
   * @param nowNanos the present time in nanoseconds
   * @return the number of loads
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

package io.snipeloom.coordination;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.snipeloom.state.ErrorCode;

/**
 * The counters of a budget holder. {@code closed} counts refusals by a holder that is stopped or
 * closed.
 */
record SpendMetrics(
    Counter reserved,
    Counter exhausted,
    Counter unavailable,
    Counter closed,
    Counter claims,
    Counter returns,
    Counter recalls,
    Counter excessTokens) {

  static SpendMetrics of(MetricRegistry registry) {
    return new SpendMetrics(
        registry.counter("spend.reserved"),
        registry.counter("spend.refused.exhausted"),
        registry.counter("spend.refused.unavailable"),
        registry.counter("spend.refused.closed"),
        registry.counter("spend.claims"),
        registry.counter("spend.returns"),
        registry.counter("spend.recalls"),
        registry.counter("spend.excess.tokens"));
  }

  void refused(ErrorCode code) {
    switch (code) {
      case BUDGET_EXHAUSTED -> exhausted.inc();
      case BUDGET_UNAVAILABLE -> unavailable.inc();
      default -> closed.inc();
    }
  }
}

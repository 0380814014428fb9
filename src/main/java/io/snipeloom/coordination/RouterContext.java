package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.Zone;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * The objects shared by all requests of one router.
 *
 * @param self the incarnation of the router
 * @param zone the zone of the router
 * @param replica the replica of the decision state
 * @param records the sink for log records
 * @param reservations reserves tokens
 * @param openAttempts counts the open attempts at each sidecar
 * @param resolver determines the state of earlier attempts
 * @param pools returns the pool of a request's upstream
 * @param scheduler runs delayed steps
 * @param nanoClock a monotonic clock in nanoseconds
 * @param random a thread-safe source of randomness
 * @param metrics the registry for metrics
 * @param attemptNumbers the number of the last attempt of this incarnation
 */
public record RouterContext(
    Incarnation self,
    Zone zone,
    LogReplica replica,
    RecordSink records,
    BudgetHolder reservations,
    OpenAttempts openAttempts,
    CallResolver resolver,
    Function<CallerRequest, UpstreamPool> pools,
    ScheduledExecutorService scheduler,
    LongSupplier nanoClock,
    RandomGenerator random,
    MetricRegistry metrics,
    AtomicLong attemptNumbers) {

  /** Returns the identifier of a new attempt. */
  AttemptId nextAttempt() {
    return AttemptId.of(self, attemptNumbers.incrementAndGet());
  }

  /** Returns the current time of the monotonic clock, in nanoseconds. */
  long nowNanos() {
    return nanoClock.getAsLong();
  }
}

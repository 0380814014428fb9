package io.snipeloom.spend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.snipeloom.Simulation;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs a customer whose callers are all connected to one instance, over which the store is slow.
 */
@Simulation
class ConcentratedCustomerTest {
  private static final int SEEDS = 10;
  private static final long LIMIT = 16_000_000;
  private static final long USUAL_ROUND_TRIP_MILLIS = 10;
  private static final long SLOW_ROUND_TRIP_MILLIS = 200;
  private static final double IDLE_SECONDS = 18;
  private static final double BUSY_SECONDS = 15;

  /** Requests a second; in the busy time they use about half of the total. */
  private static final double RATE = 80;

  /**
   * Guards against the incident SHORT: a claim covered one request, so that an instance with a full
   * link refused the requests that came in during a round trip, while hardly a token was claimed.
   */
  @ParameterizedTest
  @ValueSource(ints = {4, 9, 26, 100})
  void requestsAreNotRefusedWhileTokensAreUnclaimed(int instances) {
    double refused = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      SpendLoad load = idleFleet(seed, instances);
      load.setRoundTrip(0, SLOW_ROUND_TRIP_MILLIS);
      load.setRate(0, RATE);
      load.run(BUSY_SECONDS);
      refused += load.refusedShare() / SEEDS;
    }
    assertThat("share of requests refused", refused, lessThan(0.01));
  }

  /**
   * Guards against the incident SHORT: idle holders returned their first claims in hundreds of
   * writes, with which the claims of others conflicted.
   */
  @ParameterizedTest
  @ValueSource(ints = {4, 9, 26, 100})
  void idleInstancesReturnTheirFirstClaimsInFewWrites(int instances) {
    int holders = Math.min(instances, CustomerHolders.HOLDERS);
    int atMost = 10 * holders + instances;
    int most =
        IntStream.range(0, SEEDS)
            .map(seed -> idleFleet(seed, instances).ledgerWrites())
            .max()
            .orElse(0);
    assertThat("writes of the ledger", most, lessThanOrEqualTo(atMost));
  }

  private static SpendLoad idleFleet(int seed, int instances) {
    SpendLoad load = new SpendLoad(seed, LIMIT, true, new double[instances]);
    for (int i = 0; i < instances; i++) {
      load.setRoundTrip(i, USUAL_ROUND_TRIP_MILLIS);
    }
    load.run(IDLE_SECONDS);
    return load;
  }
}

package io.snipeloom.cost;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the estimates of output for loads whose requests look alike. */
class CostEstimatorTest {
  private static final long MAX_OUTPUT = 4_000;
  private final Random random = new Random(1);

  private static RequestKind kind(String route, String customer) {
    return new RequestKind(route, customer, 1_500, MAX_OUTPUT, OptionalLong.empty());
  }

  private static RequestKind hinted(String customer, long hint) {
    return new RequestKind("route", customer, 1_500, MAX_OUTPUT, OptionalLong.of(hint));
  }

  private double draw(double median) {
    return median * Math.exp(0.5 * random.nextGaussian());
  }

  /** Load: two routes with prompts of one size, whose outputs have 10 and 500 tokens. */
  @Test
  void outputsOfRoutesWithPromptsOfOneSizeAreToldApart() {
    CostEstimator estimator = new CostEstimator();
    for (int i = 0; i < 100; i++) {
      estimator.record(kind("short", "a"), draw(10));
      estimator.record(kind("long", "a"), draw(500));
    }
    assertThat(estimator.estimate(kind("short", "a")).outputTokens(), closeTo(10, 3));
    assertThat(estimator.estimate(kind("long", "a")).outputTokens(), closeTo(500, 150));
  }

  /** Load: a customer that is new on a route which others have used. */
  @Test
  void newCustomerStartsFromItsRoute() {
    CostEstimator estimator = new CostEstimator();
    for (int i = 0; i < 100; i++) {
      estimator.record(kind("route", "known"), draw(300));
    }
    assertThat(estimator.estimate(kind("route", "new")).outputTokens(), closeTo(300, 90));
  }

  /** Load: a kind whose output changes halfway from 50 to 500 tokens. */
  @Test
  void changedOutputIsFoundWithinTwoGenerations() {
    CostEstimator estimator = new CostEstimator();
    for (int i = 0; i < 1_000; i++) {
      estimator.record(kind("route", "a"), draw(50));
    }
    for (int i = 0; i < 128; i++) {
      estimator.record(kind("route", "a"), draw(500));
    }
    assertThat(estimator.estimate(kind("route", "a")).outputTokens(), closeTo(500, 150));
  }

  /** Load: outputs that spread widely; a caller whose hints are right at the median. */
  @Test
  void hintsThatMatchSharpenTheEstimate() {
    CostEstimator estimator = new CostEstimator();
    for (int i = 0; i < 200; i++) {
      double output = 200 * Math.exp(1.5 * random.nextGaussian());
      estimator.record(hinted("honest", Math.round(draw(output)) + 1), output);
    }
    assertThat(estimator.estimate(hinted("honest", 1_000)).outputTokens(), greaterThan(500.0));
    assertThat(estimator.estimate(hinted("honest", 20)).outputTokens(), lessThan(60.0));
  }

  /** Load: a caller that states a tenth of what its requests generate. */
  @Test
  void constantLieIsCorrected() {
    CostEstimator estimator = new CostEstimator();
    for (int i = 0; i < 100; i++) {
      double output = draw(300);
      estimator.record(hinted("liar", Math.max(1, Math.round(output / 10))), output);
    }
    double estimate = estimator.estimate(hinted("liar", 30)).outputTokens();
    assertThat(estimate, closeTo(300, 100));
  }

  /** Load: a caller whose hints have nothing to do with its outputs; another one is honest. */
  @Test
  void randomLieIsIgnoredAndCostsNobodyElse() {
    CostEstimator estimator = new CostEstimator();
    for (int i = 0; i < 100; i++) {
      estimator.record(hinted("liar", 1 + random.nextInt(4_000)), draw(100));
      double output = draw(100);
      estimator.record(hinted("honest", Math.round(draw(output)) + 1), output);
    }
    double lied = estimator.estimate(hinted("liar", 4_000)).outputTokens();
    double honest = estimator.estimate(hinted("honest", 100)).outputTokens();
    assertThat("an estimate wrong by three at most", lied, lessThan(300.0));
    assertThat(honest, closeTo(100, 40));
  }

  /** Load: as many customers and sizes as one can name. */
  @Test
  void numberOfKeysIsBounded() {
    CostEstimator estimator = new CostEstimator();
    for (int i = 0; i < 5_000; i++) {
      estimator.record(kind("route-" + i % 7, "customer-" + i), 100);
    }
    assertThat(estimator.keys(), lessThanOrEqualTo(512));
  }

  /** Load: the first request ever; it must not exceed what it allows. */
  @Test
  void estimateWithoutHistoryStaysWithinTheStatedMaximum() {
    RequestCost cost = new CostEstimator().estimate(kind("route", "a"));
    assertThat(cost.outputTokens(), closeTo(MAX_OUTPUT / 4.0, 1e-6));
    assertThat(cost.highOutputTokens(), lessThanOrEqualTo((double) MAX_OUTPUT));
  }
}

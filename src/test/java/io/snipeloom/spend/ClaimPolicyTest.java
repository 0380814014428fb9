package io.snipeloom.spend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

class ClaimPolicyTest {
  private static final long LIMIT = 2_000_000;
  private static final ClaimPolicy POLICY = new ClaimPolicy(10, 4);

  @Test
  void busiestInstanceTargetsEnoughForNineSecondOutage() {
    double tokensPerSecond = LIMIT / 70.0;
    long target =
        POLICY.target(ClaimRole.EVEN, tokensPerSecond, tokensPerSecond, 1, LIMIT / 2, 0, LIMIT);
    assertThat(target, greaterThanOrEqualTo((long) (9 * tokensPerSecond)));
  }

  @Test
  void targetIsBoundedByMaxInstanceShare() {
    long target = POLICY.target(ClaimRole.EVEN, 1e9, 1e9, 1, LIMIT, 0, LIMIT);
    assertThat(target, lessThanOrEqualTo(LIMIT * 15 / 100));
  }

  @Test
  void targetShrinksAsTheTotalRunsOut() {
    long target = POLICY.target(ClaimRole.EVEN, 1e9, 1e9, 1, 10_000, 0, LIMIT);
    assertThat(target, is(4_000L));
  }

  @Test
  void surplusIsReturnedAfterCallersMoveToAnotherInstance() {
    assertThat(POLICY.surplus(300_000, 50_000, LIMIT), is(200_000L));
    assertThat(POLICY.surplus(60_000, 50_000, LIMIT), is(0L));
  }

  @Test
  void zeroHorizonClaimsNothingAhead() {
    assertThat(new ClaimPolicy(0, 4).target(ClaimRole.EVEN, 1e9, 1e9, 1, LIMIT, 0, LIMIT), is(0L));
  }
}

package org.waxwingcourse.policy.trust;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.waxwingcourse.policy.trust.RateComparison.Result;
import org.waxwingcourse.policy.trust.RateComparison.Trace;
import org.waxwingcourse.policy.trust.RateComparison.Way;

/** Few requests are refused wrongly, and fewer than by the ways that were ruled out. */
class RateComparisonTest {
  private static final long SEED = 5;
  private static final double LARGEST_SHARE_THROUGH_A_LOSS = 0.001;

  @ParameterizedTest
  @EnumSource(Trace.class)
  void chosenWayRefusesLeast(Trace trace) {
    Result chosen = RateComparison.run(trace, Way.CHOSEN, SEED);
    Result fixed = RateComparison.run(trace, Way.FIXED_SHARES, SEED);
    Result owner = RateComparison.run(trace, Way.ONE_OWNER, SEED);
    assertThat(chosen.overrun()).isLessThanOrEqualTo(0);
    assertThat(chosen.refused()).isLessThan(fixed.refused());
    assertThat(chosen.refused()).isLessThanOrEqualTo(owner.refused());
    if (trace == Trace.HOST_LOST) {
      assertThat(chosen.share()).isLessThan(LARGEST_SHARE_THROUGH_A_LOSS);
      assertThat(chosen.refused()).isLessThan(owner.refused());
    } else {
      assertThat(chosen.refused()).isZero();
    }
  }

  @Test
  void batchWorkCostsOnlineRequestsNothing() {
    for (int batchHost = 0; batchHost < RateComparison.HOSTS; batchHost++) {
      RateComparison.Result result = RateComparison.runBesideBatch(batchHost, SEED);
      assertThat(result.refused()).isZero();
      assertThat(result.overrun()).isLessThanOrEqualTo(0);
      assertThat(result.inRate()).isGreaterThan(100);
    }
  }
}

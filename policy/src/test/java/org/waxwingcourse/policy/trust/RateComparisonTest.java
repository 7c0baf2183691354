package org.waxwingcourse.policy.trust;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.waxwingcourse.policy.trust.RateComparison.Result;
import org.waxwingcourse.policy.trust.RateComparison.Scheme;
import org.waxwingcourse.policy.trust.RateComparison.Trace;

/**
 * Checks that escrow with lending wrongly rejects few requests, and fewer than the alternative
 * schemes.
 */
class RateComparisonTest {
  private static final long SEED = 5;
  private static final double MAX_REJECTED_SHARE_DURING_HOST_LOSS = 0.001;

  @ParameterizedTest
  @EnumSource(Trace.class)
  void escrowRejectsFewestRequests(Trace trace) {
    Result escrow = RateComparison.run(trace, Scheme.ESCROW, SEED);
    Result fixedShares = RateComparison.run(trace, Scheme.FIXED_SHARES, SEED);
    Result singleOwner = RateComparison.run(trace, Scheme.SINGLE_OWNER, SEED);
    assertThat(escrow.overrun()).isLessThanOrEqualTo(0);
    assertThat(escrow.rejected()).isLessThan(fixedShares.rejected());
    assertThat(escrow.rejected()).isLessThanOrEqualTo(singleOwner.rejected());
    if (trace == Trace.HOST_LOST) {
      assertThat(escrow.rejectedShare()).isLessThan(MAX_REJECTED_SHARE_DURING_HOST_LOSS);
      assertThat(escrow.rejected()).isLessThan(singleOwner.rejected());
    } else {
      assertThat(escrow.rejected()).isZero();
    }
  }

  @Test
  void batchWorkCausesNoOnlineRejections() {
    for (int batchHost = 0; batchHost < RateComparison.HOSTS; batchHost++) {
      RateComparison.Result result = RateComparison.runBesideBatch(batchHost, SEED);
      assertThat(result.rejected()).isZero();
      assertThat(result.overrun()).isLessThanOrEqualTo(0);
      assertThat(result.inRate()).isGreaterThan(100);
    }
  }
}

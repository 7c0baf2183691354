package org.waxwingcourse.policy.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.model.id.FencingNumber;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.lease.ClockDrift;

class OrderRightTest {
  private static final Instant ACQUIRED = Instant.EPOCH;
  private static final Duration LEASE = Duration.ofSeconds(10);
  private static final Duration MAX_TRANSIT = Duration.ofSeconds(2);

  /**
   * A drift of 20 in 1000 adds 200 ms to a lease of ten seconds, and an order of the former owner
   * is in transit for up to 2 s more.
   */
  @ParameterizedTest
  @CsvSource({
    "0, true, true",
    "0, false, false",
    "2199, false, false",
    "2200, false, true",
    "7999, true, true",
    "8000, true, false",
    "8000, false, false",
  })
  void orderToEngineWithoutFencingWaitsForTheFormerOwner(
      long millis, boolean checksFencing, boolean allowed) {
    OrderRight right =
        OrderRight.of(
            FencingNumber.of(7),
            ACQUIRED,
            Deadline.at(ACQUIRED.plus(LEASE)),
            LEASE,
            ClockDrift.FLEET,
            MAX_TRANSIT);
    assertThat(right.allows(ACQUIRED.plusMillis(millis), checksFencing, MAX_TRANSIT))
        .isEqualTo(allowed);
  }
}

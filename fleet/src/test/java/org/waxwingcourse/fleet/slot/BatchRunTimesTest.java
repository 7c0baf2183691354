package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class BatchRunTimesTest {
  @Test
  void estimateIsZeroBeforeAnItemHasBeenCompleted() {
    assertThat(new BatchRunTimes().estimateRemaining(0)).isZero();
  }

  @Test
  void estimateShrinksWithTheEventsThatAnItemHas() {
    BatchRunTimes times = new BatchRunTimes();
    times.recordCompleted(250, Duration.ofMillis(20));
    assertThat(times.estimateRemaining(0)).isEqualTo(Duration.ofSeconds(5));
    assertThat(times.estimateRemaining(200)).isEqualTo(Duration.ofSeconds(1));
    assertThat(times.estimateRemaining(300)).isZero();
  }
}

package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ItemRunTimesTest {
  @Test
  void estimateIsZeroBeforeAnItemHasBeenCompleted() {
    assertThat(new ItemRunTimes().estimateRemaining(0)).isZero();
  }

  @Test
  void estimateShrinksWithTheEventsThatAnItemHas() {
    ItemRunTimes times = new ItemRunTimes();
    times.recordCompleted(250, Duration.ofMillis(20));
    assertThat(times.estimateRemaining(0)).isEqualTo(Duration.ofSeconds(5));
    assertThat(times.estimateRemaining(200)).isEqualTo(Duration.ofSeconds(1));
    assertThat(times.estimateRemaining(300)).isZero();
  }
}

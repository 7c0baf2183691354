package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RunTimesTest {
  @Test
  void nothingIsExpectedBeforeAnItemHasBeenCompleted() {
    assertThat(new RunTimes().left(0)).isZero();
  }

  @Test
  void whatIsLeftShrinksWithWhatAnItemHas() {
    RunTimes times = new RunTimes();
    times.completed(250, Duration.ofMillis(20));
    assertThat(times.left(0)).isEqualTo(Duration.ofSeconds(5));
    assertThat(times.left(200)).isEqualTo(Duration.ofSeconds(1));
    assertThat(times.left(300)).isZero();
  }
}

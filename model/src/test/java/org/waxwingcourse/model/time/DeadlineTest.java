package org.waxwingcourse.model.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class DeadlineTest {
  @Property(seed = "42", tries = 100)
  void isPastExactlyWhenNothingRemains(@ForAll @IntRange(min = -5, max = 5) int seconds) {
    Instant now = Instant.EPOCH;
    Deadline deadline = Deadline.at(now.plus(Duration.ofSeconds(seconds)));
    assertThat(deadline.isPast(now)).isEqualTo(deadline.remaining(now).isZero());
  }
}

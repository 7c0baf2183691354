package org.waxwingcourse.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.time.Deadline;

class StopScheduleTest {
  private static final Instant START = Instant.ofEpochSecond(1000);
  private final StopSchedule schedule =
      StopSchedule.of(START, Duration.ofSeconds(7), Duration.ofSeconds(6));

  private static Instant after(double seconds) {
    return START.plusMillis((long) (seconds * 1000));
  }

  private boolean admits(double at, double timeLimit) {
    return schedule.admits(Deadline.at(after(at + timeLimit)));
  }

  /** Requests were admitted until 2.5 s before the stop, whatever time they had been promised. */
  @Test
  void requestIsAdmittedOnlyIfItsTimeLimitEndsBeforeTheStop() {
    assertThat(admits(1.9, 5)).isTrue();
    assertThat(admits(2.1, 5)).isFalse();
    assertThat(admits(4.0, 5)).isFalse();
    assertThat(admits(5.5, 1)).isTrue();
    assertThat(admits(0, 15)).isFalse();
  }

  @Test
  void processDoesNotEndBeforeCallersAreGone() {
    assertThat(schedule.mayEnd(true, after(3))).isFalse();
    assertThat(schedule.mayEnd(true, after(5.9))).isFalse();
    assertThat(admits(5.9, 1)).isTrue();
  }

  /** A request that came between the last look and the end of the process was cut. */
  @Test
  void noRequestIsAdmittedBetweenTheLastLookAndTheEnd() {
    assertThat(schedule.mayEnd(true, after(6.1))).isFalse();
    assertThat(admits(6.1, 0.5)).isFalse();
    assertThat(schedule.mayEnd(false, after(6.15))).as("admitted just before").isFalse();
    assertThat(schedule.mayEnd(true, after(6.2))).isTrue();
  }

  @Test
  void requestIsAdmittedAfterCallersAreGoneWhileOthersAreInProgress() {
    assertThat(schedule.mayEnd(false, after(6.1))).isFalse();
    assertThat(admits(6.1, 0.5)).isTrue();
  }

  @Test
  void processEndsAtItsTimeThoughRequestsAreInProgress() {
    assertThat(schedule.mayEnd(false, after(6.9))).isFalse();
    assertThat(schedule.mayEnd(false, after(7.1))).isTrue();
    assertThat(admits(7.1, 0)).isFalse();
  }
}

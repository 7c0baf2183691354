package org.waxwingcourse.fleet.view;

import java.time.Duration;
import java.time.Instant;

/**
 * A time as read from two clocks. The steady clock stands still while a machine is suspended and
 * the wall clock may be set; the elapsed time is the larger of the two differences, so that neither
 * clock can hide elapsed time.
 *
 * @param steady time of the steady clock
 * @param wall time of the wall clock
 */
public record ClockReading(Instant steady, Instant wall) {
  /** Returns the time elapsed since {@code earlier}, never negative. */
  public Duration elapsedSince(ClockReading earlier) {
    Duration steadyAge = Duration.between(earlier.steady, steady);
    Duration wallAge = Duration.between(earlier.wall, wall);
    Duration age = steadyAge.compareTo(wallAge) >= 0 ? steadyAge : wallAge;
    return age.isNegative() ? Duration.ZERO : age;
  }

  /** Returns the time that is earlier by {@code age} on both clocks. */
  public ClockReading minus(Duration age) {
    return new ClockReading(steady.minus(age), wall.minus(age));
  }
}

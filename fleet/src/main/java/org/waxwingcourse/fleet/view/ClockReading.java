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

  /** Returns whether this is not before {@code deadline} on one of the clocks. */
  public boolean hasReached(ClockReading deadline) {
    return !steady.isBefore(deadline.steady) || !wall.isBefore(deadline.wall);
  }

  /** Returns the time that is later by {@code span} on both clocks. */
  public ClockReading plus(Duration span) {
    return new ClockReading(steady.plus(span), wall.plus(span));
  }

  /** Returns the time that is earlier by {@code age} on both clocks. */
  public ClockReading minus(Duration age) {
    return new ClockReading(steady.minus(age), wall.minus(age));
  }
}

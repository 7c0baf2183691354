package org.waxwingcourse.fleet.view;

import java.time.Duration;
import java.time.Instant;

/**
 * A moment by two clocks. The steady clock stands still while a machine is suspended and the wall
 * clock may be set; the age is the larger of the two, so that neither can hide elapsed time.
 *
 * @param steady by the steady clock
 * @param wall by the wall clock
 */
public record Stamp(Instant steady, Instant wall) {
  /** Returns how long ago {@code earlier} was at this moment, never negative. */
  public Duration since(Stamp earlier) {
    Duration steadyAge = Duration.between(earlier.steady, steady);
    Duration wallAge = Duration.between(earlier.wall, wall);
    Duration age = steadyAge.compareTo(wallAge) >= 0 ? steadyAge : wallAge;
    return age.isNegative() ? Duration.ZERO : age;
  }

  /** Returns the moment that much earlier. */
  public Stamp minus(Duration age) {
    return new Stamp(steady.minus(age), wall.minus(age));
  }
}

package org.waxwingcourse.fleet.view;

import java.time.Instant;
import java.time.InstantSource;

/**
 * The two clocks of a host.
 *
 * @param steady a clock that is never set but may stand still while the machine is suspended
 * @param wall a clock that is close to true time but may be set
 */
public record Clocks(InstantSource steady, InstantSource wall) {
  /** Reads both clocks. */
  public ClockReading now() {
    return new ClockReading(steady.instant(), wall.instant());
  }

  /** Returns the present time of the steady clock. */
  public Instant instant() {
    return steady.instant();
  }
}

package org.waxwingcourse.fleet.slot;

import java.time.Duration;

/**
 * How a run ended and how fast its engine was.
 *
 * @param how the end
 * @param firstEvent time from sending to the first event, zero without one
 * @param gap mean time between events, zero without two
 */
public record RunEnd(How how, Duration firstEvent, Duration gap) {
  /** The ends of a run, as they bear on its engine. */
  public enum How {
    /** The whole answer came. */
    WHOLE,
    /** The run was ended from this side. */
    CANCELLED,
    /** The engine said that it is full and did not run it. */
    ENGINE_FULL,
    /** The engine could not be reached, broke off or stayed silent. */
    ENGINE_LOST,
    /** The engine answered with a failure of its own. */
    ENGINE_FAILED,
    /** Another engine has the address. */
    ENGINE_WRONG
  }

  /** Returns an end without times. */
  public static RunEnd of(How how) {
    return new RunEnd(how, Duration.ZERO, Duration.ZERO);
  }
}

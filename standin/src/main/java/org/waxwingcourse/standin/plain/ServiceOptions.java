package org.waxwingcourse.standin.plain;

import java.time.Duration;

/**
 * What a plain service stand-in is like.
 *
 * @param port the port, zero for any free one
 * @param repeatable whether a call with a known idempotency key repeats the answer only
 * @param oneWayDelay network delay in each direction
 */
public record ServiceOptions(int port, boolean repeatable, Duration oneWayDelay) {
  /** Returns the options of a service on any free port. */
  public static ServiceOptions of(boolean repeatable) {
    return new ServiceOptions(0, repeatable, Duration.ZERO);
  }
}

package org.waxwingcourse.standin.plain;

import java.time.Duration;

/**
 * The options of a plain service stand-in.
 *
 * @param port the port to listen on, or zero for any free port
 * @param repeatable whether a call with a known idempotency key repeats the response without
 *     another run
 * @param oneWayDelay network delay in each direction
 */
public record ServiceOptions(int port, boolean repeatable, Duration oneWayDelay) {
  /** Returns the options of a service on any free port without a network delay. */
  public static ServiceOptions of(boolean repeatable) {
    return new ServiceOptions(0, repeatable, Duration.ZERO);
  }
}

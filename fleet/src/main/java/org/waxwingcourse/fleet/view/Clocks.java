package org.waxwingcourse.fleet.view;

import java.time.Instant;
import java.time.InstantSource;

/**
 * The two clocks of a host.
 *
 * @param steady never set, may stand still while the machine is suspended
 * @param wall close to true time, may be set
 */
public record Clocks(InstantSource steady, InstantSource wall) {
  /** Returns the present moment. */
  public Stamp now() {
    return new Stamp(steady.instant(), wall.instant());
  }

  /** Returns the steady clock's present instant. */
  public Instant instant() {
    return steady.instant();
  }
}

package org.waxwingcourse.fleet.online;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * The time for which an answer has waited for its receiver.
 *
 * <p>Not safe for use by several threads.
 */
final class ReceiverWait {
  private final InstantSource clock;
  private Option<Instant> since = Option.none();
  private Duration earlier = Duration.ZERO;

  ReceiverWait(InstantSource clock) {
    this.clock = clock;
  }

  /** Begins to wait; returns false if the answer waits already. */
  boolean begin() {
    if (since.isDefined()) {
      return false;
    }
    since = Option.some(clock.instant());
    return true;
  }

  void end() {
    earlier = total();
    since = Option.none();
  }

  /** Returns the time in total, the present wait included. */
  Duration total() {
    return since.map(s -> earlier.plus(Duration.between(s, clock.instant()))).getOrElse(earlier);
  }
}

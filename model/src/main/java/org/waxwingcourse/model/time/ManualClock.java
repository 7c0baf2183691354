package org.waxwingcourse.model.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that moves only when told to, for replay and failure tests. */
public final class ManualClock implements InstantSource {
  private Instant now;

  private ManualClock(Instant now) {
    this.now = now;
  }

  /** Returns a clock that stands at {@code start}. */
  public static ManualClock at(Instant start) {
    return new ManualClock(start);
  }

  @Override
  public synchronized Instant instant() {
    return now;
  }

  /** Moves the clock forward. */
  public synchronized void advance(Duration step) {
    now = now.plus(step);
  }
}

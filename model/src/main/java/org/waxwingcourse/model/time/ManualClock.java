package org.waxwingcourse.model.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that changes only when it is advanced, for replay and failure tests. Thread-safe. */
public final class ManualClock implements InstantSource {
  private Instant now;

  private ManualClock(Instant now) {
    this.now = now;
  }

  /** Returns a clock whose time is {@code start}. */
  public static ManualClock at(Instant start) {
    return new ManualClock(start);
  }

  @Override
  public synchronized Instant instant() {
    return now;
  }

  /** Advances the clock by {@code step}. */
  public synchronized void advance(Duration step) {
    now = now.plus(step);
  }
}

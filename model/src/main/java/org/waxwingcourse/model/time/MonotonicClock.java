package org.waxwingcourse.model.time;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that starts at the time of the wall clock and then follows {@link System#nanoTime}, so
 * that adjustments of the wall clock do not affect it.
 */
public final class MonotonicClock implements InstantSource {
  private final Instant origin;
  private final long originNanos;

  private MonotonicClock(Instant origin, long originNanos) {
    this.origin = origin;
    this.originNanos = originNanos;
  }

  /** Returns a clock that starts at the current time of the wall clock. */
  public static MonotonicClock start() {
    return new MonotonicClock(Instant.now(), System.nanoTime());
  }

  @Override
  public Instant instant() {
    return origin.plusNanos(System.nanoTime() - originNanos);
  }
}

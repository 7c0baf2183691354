package org.waxwingcourse.model.time;

import java.time.Instant;
import java.time.InstantSource;

/** A clock that starts at the wall clock's time and never steps back or jumps with it. */
public final class MonotonicClock implements InstantSource {
  private final Instant origin;
  private final long originNanos;

  private MonotonicClock(Instant origin, long originNanos) {
    this.origin = origin;
    this.originNanos = originNanos;
  }

  /** Returns a clock anchored at the wall clock's present time. */
  public static MonotonicClock start() {
    return new MonotonicClock(Instant.now(), System.nanoTime());
  }

  @Override
  public Instant instant() {
    return origin.plusNanos(System.nanoTime() - originNanos);
  }
}

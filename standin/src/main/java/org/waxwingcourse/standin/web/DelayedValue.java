package org.waxwingcourse.standin.web;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value whose updates become visible after a fixed lag.
 *
 * @param <T> the value's type, compared by equals
 */
public final class DelayedValue<T> {
  private record TimedValue<T>(Instant at, T value) {}

  private final InstantSource clock;
  private final Duration lag;
  private final Deque<TimedValue<T>> pending = new ArrayDeque<>();
  private T visible;

  /** Creates a value that is {@code initial} until the lag of the first update has passed. */
  public DelayedValue(InstantSource clock, Duration lag, T initial) {
    this.clock = clock;
    this.lag = lag;
    this.visible = initial;
  }

  /** Records the current value. */
  public synchronized void update(T value) {
    T last = pending.isEmpty() ? visible : pending.getLast().value();
    if (!value.equals(last)) {
      pending.addLast(new TimedValue<>(clock.instant(), value));
    }
  }

  /** Returns the value as it was one lag ago. */
  public synchronized T get() {
    Instant latestVisible = clock.instant().minus(lag);
    while (!pending.isEmpty() && !pending.getFirst().at().isAfter(latestVisible)) {
      visible = pending.removeFirst().value();
    }
    return visible;
  }
}

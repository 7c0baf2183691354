package org.waxwingcourse.standin.web;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value that is shown as it was some time ago.
 *
 * @param <T> the value's type, compared by equals
 */
public final class Lagged<T> {
  private record Noted<T>(Instant at, T value) {}

  private final InstantSource clock;
  private final Duration lag;
  private final Deque<Noted<T>> noted = new ArrayDeque<>();
  private T shown;

  /** Makes a value that is {@code initial} until a noted one is old enough. */
  public Lagged(InstantSource clock, Duration lag, T initial) {
    this.clock = clock;
    this.lag = lag;
    this.shown = initial;
  }

  /** Notes the present value. */
  public synchronized void note(T value) {
    T last = noted.isEmpty() ? shown : noted.getLast().value();
    if (!value.equals(last)) {
      noted.addLast(new Noted<>(clock.instant(), value));
    }
  }

  /** Returns the value as it was one lag ago. */
  public synchronized T shown() {
    Instant newest = clock.instant().minus(lag);
    while (!noted.isEmpty() && !noted.getFirst().at().isAfter(newest)) {
      shown = noted.removeFirst().value();
    }
    return shown;
  }
}

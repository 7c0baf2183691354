package org.waxwingcourse.model.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * A point in time after which something no longer holds. Deadlines are stored in place of durations
 * so that a pause between reading and use cannot lengthen them.
 *
 * @param at the first instant at which the deadline is past
 */
public record Deadline(Instant at) implements Comparable<Deadline> {
  /** Returns the deadline at the given instant. */
  public static Deadline at(Instant at) {
    return new Deadline(at);
  }

  /** Returns the deadline that lies {@code duration} after the clock's present instant. */
  public static Deadline after(InstantSource clock, Duration duration) {
    return new Deadline(clock.instant().plus(duration));
  }

  /** Tells whether the deadline has passed at {@code now}. */
  public boolean isPast(Instant now) {
    return !now.isBefore(at);
  }

  /** Returns the time left at {@code now}, zero once the deadline has passed. */
  public Duration remaining(Instant now) {
    Duration left = Duration.between(now, at);
    return left.isNegative() ? Duration.ZERO : left;
  }

  /** Returns the earlier of the two deadlines. */
  public Deadline earlier(Deadline other) {
    return at.isBefore(other.at) ? this : other;
  }

  @Override
  public int compareTo(Deadline other) {
    return at.compareTo(other.at);
  }
}

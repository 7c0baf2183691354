package org.waxwingcourse.model.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * A point in time at which a condition expires. Deadlines are used instead of durations so that a
 * pause between reading and use cannot extend them.
 *
 * @param at the first instant at which the deadline has passed
 */
public record Deadline(Instant at) implements Comparable<Deadline> {
  /** Returns the deadline at the given instant. */
  public static Deadline at(Instant at) {
    return new Deadline(at);
  }

  /** Returns the deadline {@code duration} after the current time of the clock. */
  public static Deadline after(InstantSource clock, Duration duration) {
    return new Deadline(clock.instant().plus(duration));
  }

  /** Returns whether the deadline has passed at {@code now}. */
  public boolean isPast(Instant now) {
    return !now.isBefore(at);
  }

  /** Returns the time that remains at {@code now}, or zero if the deadline has passed. */
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

package org.waxwingcourse.policy.lease;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.time.Deadline;

/**
 * A lease as its holder may use it.
 *
 * <p>The holder counts from before it asked, and stops earlier than the grantor by the clock-drift
 * bound; so when the grantor gives the lease to another, the first holder has already stopped. A
 * pause between asking and using cannot lengthen the lease, because a deadline is kept and not a
 * duration: the holder looks at the clock before each use (Gray and Cheriton, "Leases", 1989).
 *
 * @param usableUntil the first instant at which the holder may do nothing more under the lease
 */
public record HeldLease(Deadline usableUntil) {
  /** Stands for no lease. */
  public static final HeldLease NONE = new HeldLease(Deadline.at(Instant.MIN));

  /**
   * Returns the lease as granted.
   *
   * @param askedAt the clock before the call that granted or renewed the lease
   * @param lapses when the grantor lets it lapse, counted from {@code askedAt}
   * @param drift bound on the difference between the two clocks
   */
  public static HeldLease of(Instant askedAt, Deadline lapses, ClockDrift drift) {
    Duration usable = drift.usable(lapses.remaining(askedAt));
    return new HeldLease(Deadline.at(askedAt.plus(usable)));
  }

  /** Tells whether the holder may still act at {@code now}; asked before each use. */
  public boolean holds(Instant now) {
    return !usableUntil.isPast(now);
  }
}

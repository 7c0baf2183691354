package org.waxwingcourse.policy.lease;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.time.Deadline;

/**
 * A lease as its holder may use it.
 *
 * <p>The holder measures the lease from before it sent its request and stops earlier than the
 * grantor by the clock-drift bound. When the grantor gives the lease to another host, the first
 * holder has therefore stopped. A pause between the request and a use cannot extend the lease,
 * because the record stores a deadline instead of a duration and the holder reads the clock before
 * each use (Gray and Cheriton, "Leases", 1989).
 *
 * @param usableUntil the first instant at which the holder may no longer act under the lease
 */
public record HeldLease(Deadline usableUntil) {
  /** Represents the absence of a lease. */
  public static final HeldLease NONE = new HeldLease(Deadline.at(Instant.MIN));

  /**
   * Returns the lease that a grantor granted.
   *
   * @param requestedAt the holder's clock before the call that granted or renewed the lease
   * @param expiry when the lease expires at the grantor, measured from {@code requestedAt}
   * @param drift bound on the difference between the two clocks
   */
  public static HeldLease of(Instant requestedAt, Deadline expiry, ClockDrift drift) {
    Duration usable = drift.usable(expiry.remaining(requestedAt));
    return new HeldLease(Deadline.at(requestedAt.plus(usable)));
  }

  /** Returns whether the holder may act at {@code now}. Must be called before each use. */
  public boolean holds(Instant now) {
    return !usableUntil.isPast(now);
  }
}

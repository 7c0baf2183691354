package org.waxwingcourse.policy.order;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.id.FencingNumber;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.lease.ClockDrift;

/**
 * The right to send orders to one engine. Its fencing number is the store revision that created the
 * owner's entry, so a later owner has a higher number. An engine that checks the number accepts an
 * order immediately and rejects orders of the former owner. An engine that ignores the number must
 * not receive an order of the former owner after one of the new owner. An order to such an engine
 * therefore waits until the former owner's lease, whose expiry allowed the entry to be created, has
 * expired on the slowest clock and until the former owner's last order can no longer be in transit.
 *
 * @param number fencing number that is sent with each order
 * @param until when the right expires on this host's clock
 * @param noFormerOrdersFrom instant from which no order of a former owner can arrive
 */
public record OrderRight(FencingNumber number, Deadline until, Instant noFormerOrdersFrom) {
  /**
   * Returns the right of a new owner.
   *
   * @param number the revision that created the owner's entry
   * @param acquired time on this host's clock at which the store's response was received
   * @param lease when the owner's lease expires
   * @param leaseTime duration for which leases are granted
   * @param drift bound on the drift between two clocks
   * @param maxTransit longest transit time of an order
   */
  public static OrderRight of(
      FencingNumber number,
      Instant acquired,
      Deadline lease,
      Duration leaseTime,
      ClockDrift drift,
      Duration maxTransit) {
    Duration driftAllowance = leaseTime.minus(drift.usable(leaseTime));
    return new OrderRight(number, lease, acquired.plus(driftAllowance).plus(maxTransit));
  }

  /**
   * Returns whether an order may be sent now.
   *
   * @param checksFencing whether the engine rejects lower fencing numbers
   * @param maxTransit longest transit time of the order; the right must not expire within it
   */
  public boolean allows(Instant now, boolean checksFencing, Duration maxTransit) {
    boolean validOnArrival = !until.isPast(now.plus(maxTransit));
    return validOnArrival && (checksFencing || !now.isBefore(noFormerOrdersFrom));
  }
}

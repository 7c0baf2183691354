package org.waxwingcourse.policy.order;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.id.FencingNumber;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.lease.ClockDrift;

/**
 * The right to give orders to one engine. Its fencing number is the store's revision that created
 * the owner's entry, so a later owner has a higher one. An engine that checks the number takes the
 * order at once and refuses the former owner's. One that ignores it must not hear the former owner
 * after the new one: an order then waits until the former owner's lease, whose end let the entry be
 * created, has passed on the slowest clock, and its last order can no longer be on its way.
 *
 * @param number goes with each order
 * @param until when the right ends on this host's clock
 * @param formerSilent from when on no order of a former owner can arrive
 */
public record OrderRight(FencingNumber number, Deadline until, Instant formerSilent) {
  /**
   * Returns the right of a new owner.
   *
   * @param number the revision that created the owner's entry
   * @param acquired when the store's answer came
   * @param lease when the owner's lease lapses
   * @param leaseTime the time for which leases are granted
   * @param drift bound between two clocks
   * @param flight longest time that an order is on its way
   */
  public static OrderRight of(
      FencingNumber number,
      Instant acquired,
      Deadline lease,
      Duration leaseTime,
      ClockDrift drift,
      Duration flight) {
    Duration slack = leaseTime.minus(drift.usable(leaseTime));
    return new OrderRight(number, lease, acquired.plus(slack).plus(flight));
  }

  /**
   * Tells whether an order may be sent now.
   *
   * @param checksFencing whether the engine refuses an old number
   * @param flight longest time that the order is on its way; the right must outlast it
   */
  public boolean allows(Instant now, boolean checksFencing, Duration flight) {
    boolean held = !until.isPast(now.plus(flight));
    return held && (checksFencing || !now.isBefore(formerSilent));
  }
}

package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;

/**
 * A moving average of the number of slots that online requests leave to batch runs. Online load
 * swings within seconds; whether a batch request ends in time depends on its average.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the scheduler that owns it.
 */
final class BatchSlotAverage {
  /** Time constant in seconds of the decaying average; about one swing of the online load. */
  private static final double TIME_CONSTANT_SECONDS = 6;

  private double slots;
  private Instant updatedAt;

  /** Records the number of slots that batch runs have or could have now. */
  void update(int slotsNow, Instant now) {
    if (updatedAt == null) {
      slots = slotsNow;
    } else {
      double seconds = Duration.between(updatedAt, now).toNanos() / 1e9;
      slots += (slotsNow - slots) * (1 - Math.exp(-Math.max(0, seconds) / TIME_CONSTANT_SECONDS));
    }
    updatedAt = now;
  }

  double slots() {
    return slots;
  }
}

package org.waxwingcourse.policy.lease;

import java.time.Duration;

/**
 * Bound on how far two clocks of the fleet can run apart.
 *
 * @param partsPerThousand largest difference between the rates of two clocks, in thousandths
 */
public record ClockDrift(int partsPerThousand) {
  /** The bound that the fleet's hosts and the platform's store keep. */
  public static final ClockDrift FLEET = new ClockDrift(20);

  /** Refuses a bound that leaves no time at all. */
  public ClockDrift {
    if (partsPerThousand < 0 || partsPerThousand >= 1000) {
      throw new IllegalArgumentException("clock drift out of range: " + partsPerThousand);
    }
  }

  /** Returns the part of {@code granted} that has surely not passed on the grantor's clock. */
  public Duration usable(Duration granted) {
    return granted.multipliedBy(1000 - partsPerThousand).dividedBy(1000);
  }
}

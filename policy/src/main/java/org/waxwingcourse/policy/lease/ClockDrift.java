package org.waxwingcourse.policy.lease;

import java.time.Duration;

/**
 * Bound on the relative drift of two clocks of the fleet.
 *
 * @param partsPerThousand largest difference between the rates of two clocks, in parts per thousand
 */
public record ClockDrift(int partsPerThousand) {
  /** The bound for the clocks of the fleet's hosts and of the platform's store. */
  public static final ClockDrift FLEET = new ClockDrift(20);

  /** Rejects a bound that would leave no usable lease time. */
  public ClockDrift {
    if (partsPerThousand < 0 || partsPerThousand >= 1000) {
      throw new IllegalArgumentException(
          "clock drift must be at least 0 and less than 1000 parts per thousand: "
              + partsPerThousand);
    }
  }

  /**
   * Returns how long a holder may use a lease of length {@code granted}: when this time has passed
   * on the holder's clock, no more than {@code granted} has passed on the grantor's clock.
   */
  public Duration usable(Duration granted) {
    return granted.multipliedBy(1000 - partsPerThousand).dividedBy(1000);
  }
}

package org.waxwingcourse.policy.batch;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Token bucket that limits the calls to the store that one host makes for batch work. */
public final class CallBudget {
  private static final double NANOS_PER_SECOND = 1e9;

  private final InstantSource clock;
  private final double perSecond;
  private final int burst;
  private double tokens;
  private Instant lastRefill;

  /**
   * Creates a full bucket.
   *
   * @param perSecond long-term limit in calls per second
   * @param burst most calls that may be made at once
   */
  public CallBudget(InstantSource clock, double perSecond, int burst) {
    this.clock = clock;
    this.perSecond = perSecond;
    this.burst = burst;
    this.tokens = burst;
    this.lastRefill = clock.instant();
  }

  /** Reserves one call and returns how long the caller must wait before it makes the call. */
  public synchronized Duration take() {
    Instant now = clock.instant();
    double refill = Duration.between(lastRefill, now).toNanos() / NANOS_PER_SECOND * perSecond;
    tokens = Math.min(burst, tokens + refill) - 1;
    lastRefill = now;
    return tokens >= 0
        ? Duration.ZERO
        : Duration.ofNanos((long) (-tokens / perSecond * NANOS_PER_SECOND));
  }
}

package org.waxwingcourse.policy.batch;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Token bucket that bounds the calls which one host makes to the store for batch work. */
public final class CallBudget {
  private static final double NANOS_PER_SECOND = 1e9;

  private final InstantSource clock;
  private final double perSecond;
  private final int burst;
  private double tokens;
  private Instant counted;

  /**
   * Creates a full bucket.
   *
   * @param perSecond calls per second over a long time
   * @param burst calls at once
   */
  public CallBudget(InstantSource clock, double perSecond, int burst) {
    this.clock = clock;
    this.perSecond = perSecond;
    this.burst = burst;
    this.tokens = burst;
    this.counted = clock.instant();
  }

  /** Takes one call out of the budget and returns how long to wait before making it. */
  public synchronized Duration take() {
    Instant now = clock.instant();
    double gained = Duration.between(counted, now).toNanos() / NANOS_PER_SECOND * perSecond;
    tokens = Math.min(burst, tokens + gained) - 1;
    counted = now;
    return tokens >= 0
        ? Duration.ZERO
        : Duration.ofNanos((long) (-tokens / perSecond * NANOS_PER_SECOND));
  }
}

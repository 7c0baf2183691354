package org.waxwingcourse.load.report;

import java.time.Duration;

/**
 * Checks admission decisions against one organisation's rate and burst with an independent token
 * bucket. A refusal while the bucket holds at least one token is wrongful; an admission that takes
 * the bucket below zero is an overrun. Attempts must be added in the order of their send times.
 */
public final class RateLimitChecker {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double ratePerSecond;
  private final int burst;
  private double tokens;
  private Duration lastSentAt = Duration.ZERO;
  private long wrongfulRefusals;
  private double maxOverrun;

  /** Creates a checker with a full bucket. */
  public RateLimitChecker(double ratePerSecond, int burst) {
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.tokens = burst;
  }

  /** Adds the result of one attempt. */
  public void addAttempt(Duration sentAt, boolean refused) {
    double elapsedSeconds = Math.max(0, sentAt.minus(lastSentAt).toNanos() / NANOS_PER_SECOND);
    lastSentAt = sentAt;
    tokens = Math.min(burst, tokens + elapsedSeconds * ratePerSecond);
    if (!refused) {
      tokens--;
      maxOverrun = Math.max(maxOverrun, -tokens);
    } else if (tokens >= 1) {
      wrongfulRefusals++;
    }
  }

  /** Returns the number of wrongful refusals. */
  public long wrongfulRefusals() {
    return wrongfulRefusals;
  }

  /** Returns the largest excess of admissions over rate and burst, in requests. */
  public double maxOverrun() {
    return maxOverrun;
  }
}

package org.waxwingcourse.load.report;

import java.time.Duration;

/**
 * Judges admissions against one organisation's rate and burst with a token bucket of its own: a
 * refusal while a whole token was there is wrongful, and tokens below zero are an overrun. Tries
 * come in the order of their sending.
 */
public final class RateJudge {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double ratePerSecond;
  private final int burst;
  private double tokens;
  private Duration last = Duration.ZERO;
  private long refusedInside;
  private double overrun;

  /** Makes a judge with a full bucket. */
  public RateJudge(double ratePerSecond, int burst) {
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.tokens = burst;
  }

  /** Takes one try into account. */
  public void judge(Duration sentAt, boolean refused) {
    double passed = Math.max(0, sentAt.minus(last).toNanos() / NANOS_PER_SECOND);
    last = sentAt;
    tokens = Math.min(burst, tokens + passed * ratePerSecond);
    if (!refused) {
      tokens--;
      overrun = Math.max(overrun, -tokens);
    } else if (tokens >= 1) {
      refusedInside++;
    }
  }

  /** Returns how many refusals were wrongful. */
  public long refusedInside() {
    return refusedInside;
  }

  /** Returns the most by which admissions went over rate and burst, in requests. */
  public double overrun() {
    return overrun;
  }
}

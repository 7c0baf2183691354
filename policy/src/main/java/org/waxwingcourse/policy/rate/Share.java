package org.waxwingcourse.policy.rate;

import org.waxwingcourse.model.fleet.Rate;

/**
 * One holder's share of an organisation's rate. The shares of all holders add up to no more than
 * the rate.
 *
 * @param capacity share of the burst, in billionths of a token
 * @param perSecond share of the rate, in tokens per second
 */
public record Share(long capacity, double perSecond) {
  /** A share of zero. */
  static final Share NONE = new Share(0, 0);

  /**
   * Returns the share of the holder at {@code rank}. Each share has a capacity of at least one
   * token, so a small burst is divided among fewer holders.
   *
   * @param rank position among the holders, from zero
   * @param holderCount number of holders
   */
  static Share of(Rate rate, int rank, int holderCount) {
    int shares = Math.min(holderCount, rate.burst());
    if (rank < 0 || rank >= shares) {
      return NONE;
    }
    return new Share(rate.burst() * TokenBucket.TOKEN / shares, rate.perSecond() / shares);
  }

  Share componentwiseMin(Share other) {
    return new Share(Math.min(capacity, other.capacity), Math.min(perSecond, other.perSecond));
  }

  boolean exceeds(Share other) {
    return capacity > other.capacity || perSecond > other.perSecond;
  }
}

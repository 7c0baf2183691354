package org.waxwingcourse.policy.rate;

import org.waxwingcourse.model.fleet.Rate;

/**
 * One holder's part of an organisation's rate. The parts of all holders add up to no more than the
 * rate.
 *
 * @param capacity part of the burst, in billionths of a token
 * @param perSecond part of the rate, tokens per second
 */
public record Share(long capacity, double perSecond) {
  /** Nothing. */
  static final Share NONE = new Share(0, 0);

  /**
   * Returns the part of the holder at {@code rank}. Each part holds at least one token, so a small
   * burst has fewer holders.
   *
   * @param rank position among the holders, from zero
   * @param holders number of holders
   */
  static Share of(Rate rate, int rank, int holders) {
    int parts = Math.min(holders, rate.burst());
    if (rank < 0 || rank >= parts) {
      return NONE;
    }
    return new Share(rate.burst() * TokenBucket.TOKEN / parts, rate.perSecond() / parts);
  }

  Share least(Share other) {
    return new Share(Math.min(capacity, other.capacity), Math.min(perSecond, other.perSecond));
  }

  boolean exceeds(Share other) {
    return capacity > other.capacity || perSecond > other.perSecond;
  }
}

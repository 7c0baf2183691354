package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;

/**
 * Says how many free slots are kept from batch work. Where online requests come and go at the same
 * rate, the number of free slots is a random walk, and with {@code R} slots kept from batch about
 * one arrival in {@code R + 1} finds none and takes one from a batch run. Each such change wastes
 * slot time; a slot kept free wastes it all the while. The sum is least at {@code R = sqrt(rate *
 * cost) - 1}. Answers batch work that fills every slot beside many short online requests: most of
 * it would be cut within some milliseconds of its start.
 *
 * <p>Not safe for use by several threads; the scheduler that holds it has the lock.
 */
final class YieldReserve {
  /**
   * Slot time that a change from batch to online wastes, seconds: the cancellation on its way, a
   * new connection, and the prompt and what had been made read again.
   */
  private static final double CHANGE_SECONDS = 0.05;

  /** Memory of the rate of arrivals, seconds; short beside swings of load that take seconds. */
  private static final double MEMORY_SECONDS = 0.3;

  private final double changeSeconds;
  private double perSecond;
  private Instant since = Instant.EPOCH;

  private YieldReserve(double changeSeconds) {
    this.changeSeconds = changeSeconds;
  }

  /** Returns a reserve that has seen no arrivals. */
  static YieldReserve usual() {
    return new YieldReserve(CHANGE_SECONDS);
  }

  /** Returns a reserve that keeps nothing free. */
  static YieldReserve none() {
    return new YieldReserve(0);
  }

  /** An online request has come. */
  void arrived(Instant now) {
    perSecond = rate(now) + 1 / MEMORY_SECONDS;
    since = now;
  }

  /** Returns how many free slots batch leaves alone. */
  int slots(Instant now) {
    return Math.max(0, (int) Math.round(Math.sqrt(rate(now) * changeSeconds)) - 1);
  }

  private double rate(Instant now) {
    double seconds = Duration.between(since, now).toNanos() / 1e9;
    return perSecond * Math.exp(-Math.max(0, seconds) / MEMORY_SECONDS);
  }
}

package org.waxwingcourse.policy.queue;

import java.time.Duration;
import java.time.Instant;

/**
 * Estimates how long work waits for a slot, from the mean time that a stream holds one, and gives
 * those who are refused times to come back that are spread at the rate at which slots come free.
 * Not safe for use by several threads.
 */
final class DrainRate {
  private static final double MEAN_WEIGHT = 0.05;
  private static final Duration MIN_RETRY = Duration.ofMillis(200);
  private static final Duration MAX_RETRY = Duration.ofSeconds(30);

  private double meanMillis;
  private Instant promised = Instant.MIN;

  void finished(Duration held) {
    double millis = held.toNanos() / 1e6;
    meanMillis = meanMillis == 0 ? millis : meanMillis + MEAN_WEIGHT * (millis - meanMillis);
  }

  /**
   * Returns the wait for the {@code position}-th slot to come free; zero while nothing is known.
   */
  Duration waitFor(int position, int slots) {
    return Duration.ofNanos((long) (meanMillis * 1e6 * position / slots));
  }

  Instant retryAt(int queued, int slots, Instant now) {
    Instant drained = now.plus(waitFor(queued, slots)).plus(MIN_RETRY);
    Instant next = promised.plus(promised.equals(Instant.MIN) ? Duration.ZERO : waitFor(1, slots));
    Instant at = next.isAfter(drained) ? next : drained;
    Instant last = now.plus(MAX_RETRY);
    promised = at.isAfter(last) ? last : at;
    return promised;
  }
}

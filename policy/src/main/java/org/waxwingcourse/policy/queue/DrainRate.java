package org.waxwingcourse.policy.queue;

import java.time.Duration;
import java.time.Instant;

/**
 * Estimates how long requests wait for a slot from the mean time that a stream occupies one, and
 * spreads the retry times of rejected requests at the rate at which slots become free. Not
 * thread-safe.
 */
final class DrainRate {
  private static final double MEAN_SMOOTHING = 0.05;
  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(30);

  private double meanOccupancyMillis;
  private Instant lastRetryAt = Instant.MIN;

  void recordFinished(Duration occupancy) {
    double millis = occupancy.toNanos() / 1e6;
    meanOccupancyMillis =
        meanOccupancyMillis == 0
            ? millis
            : meanOccupancyMillis + MEAN_SMOOTHING * (millis - meanOccupancyMillis);
  }

  /**
   * Returns the expected time until the {@code position}-th slot becomes free, or zero before the
   * first stream has finished.
   */
  Duration waitFor(int position, int slots) {
    return Duration.ofNanos((long) (meanOccupancyMillis * 1e6 * position / slots));
  }

  Instant retryAt(int queued, int slots, Instant now) {
    Instant queueDrained = now.plus(waitFor(queued, slots)).plus(MIN_RETRY_DELAY);
    Instant afterLastRetry =
        lastRetryAt.plus(lastRetryAt.equals(Instant.MIN) ? Duration.ZERO : waitFor(1, slots));
    Instant retryTime = afterLastRetry.isAfter(queueDrained) ? afterLastRetry : queueDrained;
    Instant latest = now.plus(MAX_RETRY_DELAY);
    lastRetryAt = retryTime.isAfter(latest) ? latest : retryTime;
    return lastRetryAt;
  }
}

package org.waxwingcourse.policy.batch;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the n-th wait is drawn evenly from zero to a ceiling that
 * doubles with n, so that many hosts that failed together do not come back together.
 *
 * @param first ceiling of the first wait
 * @param longest ceiling of every wait
 */
public record Backoff(Duration first, Duration longest) {
  private static final int MAX_DOUBLINGS = 20;

  /** Returns the wait after {@code failures} failures in a row, at least one. */
  public Duration wait(int failures, RandomGenerator random) {
    int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
    Duration ceiling = first.multipliedBy(1L << doublings);
    Duration capped = ceiling.compareTo(longest) > 0 ? longest : ceiling;
    return Duration.ofMillis(1 + random.nextLong(capped.toMillis()));
  }
}

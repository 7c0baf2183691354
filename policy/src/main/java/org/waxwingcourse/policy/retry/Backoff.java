package org.waxwingcourse.policy.retry;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.time.Deadline;

/**
 * Exponential backoff with full jitter: the delay before retry n is uniformly distributed between
 * zero and the smaller of {@code base * 2^n} and {@code cap}. Full jitter spreads the retries of
 * many callers that failed at the same time, whereas plain exponential backoff keeps them
 * synchronised.
 *
 * @param base upper bound of the delay before the first retry
 * @param cap upper bound of every delay
 */
public record Backoff(Duration base, Duration cap) {
  private static final int MAX_DOUBLINGS = 20;

  /** Returns a backoff with the given bounds. */
  public static Backoff of(Duration base, Duration cap) {
    return new Backoff(base, cap);
  }

  /**
   * Returns the delay before a retry, which is greater than zero.
   *
   * @param retry index of the retry, zero for the first one
   */
  public Duration wait(int retry, RandomGenerator random) {
    long exponentialBound = base.toNanos() << Math.min(retry, MAX_DOUBLINGS);
    long bound = Math.max(1, Math.min(exponentialBound, cap.toNanos()));
    return Duration.ofNanos(1 + random.nextLong(bound));
  }

  /**
   * Returns the time of the retry, or none if it is not before the request's deadline.
   *
   * @param retry index of the retry, zero for the first one
   */
  public Option<Instant> next(int retry, Instant now, Deadline deadline, RandomGenerator random) {
    Instant at = now.plus(wait(retry, random));
    return deadline.isPast(at) ? Option.none() : Option.some(at);
  }
}

package org.waxwingcourse.policy.retry;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.time.Deadline;

/**
 * Exponential backoff with full jitter: the wait before retry n is uniform between zero and {@code
 * base * 2^n}, at most {@code cap}. Full jitter spreads the retries of many callers that failed
 * together; a plain exponential keeps them together.
 *
 * @param base mean scale of the first wait
 * @param cap longest wait
 */
public record Backoff(Duration base, Duration cap) {
  private static final int MAX_DOUBLINGS = 20;

  /** Returns a backoff with the given scale. */
  public static Backoff of(Duration base, Duration cap) {
    return new Backoff(base, cap);
  }

  /**
   * Returns how long to wait before a retry, more than zero.
   *
   * @param retry zero for the first retry
   */
  public Duration wait(int retry, RandomGenerator random) {
    long scale = base.toNanos() << Math.min(retry, MAX_DOUBLINGS);
    long limit = Math.max(1, Math.min(scale, cap.toNanos()));
    return Duration.ofNanos(1 + random.nextLong(limit));
  }

  /**
   * Returns when to retry, or none if that is not before the request's deadline.
   *
   * @param retry zero for the first retry
   */
  public Option<Instant> next(int retry, Instant now, Deadline deadline, RandomGenerator random) {
    Instant at = now.plus(wait(retry, random));
    return deadline.isPast(at) ? Option.none() : Option.some(at);
  }
}

package org.waxwingcourse.policy.retry;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.time.Deadline;

/**
 * Combines a retry budget with a backoff. A retry is allowed only within the budget and before the
 * deadline. A request without a further retry ends immediately with the outcome of its last
 * attempt.
 */
public final class RetryPolicy {
  private static final Backoff BACKOFF = Backoff.of(Duration.ofMillis(20), Duration.ofMillis(500));
  private static final double RETRY_SHARE = 0.1;
  private static final int MAX_RETRY_CREDIT = 20;

  private final RetryBudget budget;
  private final Backoff backoff;
  private final InstantSource clock;
  private final RandomGenerator random;

  private RetryPolicy(
      RetryBudget budget, Backoff backoff, InstantSource clock, RandomGenerator random) {
    this.budget = budget;
    this.backoff = backoff;
    this.clock = clock;
    this.random = random;
  }

  /** Returns a policy that limits retries to a tenth of the offered load. */
  public static RetryPolicy of(InstantSource clock, RandomGenerator random) {
    return new RetryPolicy(RetryBudget.of(RETRY_SHARE, MAX_RETRY_CREDIT), BACKOFF, clock, random);
  }

  /** Counts the first attempt of a request. */
  public void onRequest() {
    budget.onRequest();
  }

  /**
   * Returns the time of the retry, or none if the request must not be retried.
   *
   * @param retry index of the retry, zero for the first one
   */
  public Option<Instant> next(int retry, Deadline deadline) {
    return backoff.next(retry, clock.instant(), deadline, random).filter(at -> budget.tryAcquire());
  }
}

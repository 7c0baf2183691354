package org.waxwingcourse.policy.retry;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.time.Deadline;

/**
 * Joins budget and backoff. A retry happens only inside the budget and before the deadline; a
 * request that gets none ends at once with the outcome of its last try.
 */
public final class RetryPolicy {
  private static final Backoff BACKOFF = Backoff.of(Duration.ofMillis(20), Duration.ofMillis(500));
  private static final double SHARE = 0.1;
  private static final int MAX_CREDIT = 20;

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

  /** Returns a policy whose budget is a tenth of the offered load. */
  public static RetryPolicy of(InstantSource clock, RandomGenerator random) {
    return new RetryPolicy(RetryBudget.of(SHARE, MAX_CREDIT), BACKOFF, clock, random);
  }

  /** Counts a request's first try. */
  public void onRequest() {
    budget.onRequest();
  }

  /**
   * Returns when to retry, or none if the request ends here.
   *
   * @param retry zero for the first retry
   */
  public Option<Instant> next(int retry, Deadline deadline) {
    return backoff.next(retry, clock.instant(), deadline, random).filter(at -> budget.tryTake());
  }
}

package org.waxwingcourse.policy.retry;

/**
 * A retry budget, which limits retries to a share of the offered load regardless of how many
 * attempts fail. Each request adds {@code share} to the credit, and each retry consumes one credit.
 * The credit is bounded, so that a period without failures does not allow a burst of retries later.
 * At all times {@code retries <= maxCredit + share * requests}. A fixed number of attempts per
 * request would instead multiply the load when upstreams lack capacity.
 *
 * <p>Thread-safe.
 */
public final class RetryBudget {
  private final double share;
  private final double maxCredit;
  private double credit;

  private RetryBudget(double share, double maxCredit) {
    this.share = share;
    this.maxCredit = maxCredit;
    this.credit = maxCredit;
  }

  /**
   * Returns a full budget.
   *
   * @param share allowed retries per request, such as 0.1
   * @param maxCredit maximum number of retries for which credit is kept
   */
  public static RetryBudget of(double share, int maxCredit) {
    return new RetryBudget(share, maxCredit);
  }

  /** Counts the first attempt of a request. */
  public synchronized void onRequest() {
    credit = Math.min(maxCredit, credit + share);
  }

  /** Consumes the credit for one retry, or returns false if there is not enough credit. */
  public synchronized boolean tryAcquire() {
    if (credit < 1) {
      return false;
    }
    credit -= 1;
    return true;
  }
}

package org.waxwingcourse.policy.retry;

/**
 * A retry budget: retries may make up a share of the offered load and no more, however many tries
 * fail. Each request pays a share of a credit in, each retry takes a whole credit out, and the
 * credit is bounded, so that a quiet hour does not pay for a storm. In any run {@code retries <=
 * maxCredit + share * requests}. A fixed number of tries instead multiplies the load exactly when
 * upstreams are short of capacity.
 *
 * <p>Safe for use by several threads.
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
   * @param share retries for each request, such as 0.1
   * @param maxCredit retries that may be saved up
   */
  public static RetryBudget of(double share, int maxCredit) {
    return new RetryBudget(share, maxCredit);
  }

  /** Counts a request's first try. */
  public synchronized void onRequest() {
    credit = Math.min(maxCredit, credit + share);
  }

  /** Takes the credit of one retry, or returns false if there is none. */
  public synchronized boolean tryTake() {
    if (credit < 1) {
      return false;
    }
    credit -= 1;
    return true;
  }
}

package org.waxwingcourse.load.report;

import java.util.List;

/**
 * The results of one organisation's requests.
 *
 * @param name name of the organisation
 * @param arrivals number of requests in the plan
 * @param completed number of requests with a complete and correct answer
 * @param outcomes number of attempts for each outcome, retries included
 * @param refusedInsideRate attempts rejected although the organisation was within its rate and
 *     burst
 * @param overRate largest excess of admitted attempts over rate and burst, requests
 * @param latency time from the scheduled send time to the end of the answer
 * @param firstToken time from the scheduled send time to the first token of a stream
 * @param betweenTokens time between consecutive parts of a stream
 */
public record OrganisationReport(
    String name,
    long arrivals,
    long completed,
    List<NamedCount> outcomes,
    long refusedInsideRate,
    double overRate,
    Quantiles latency,
    Quantiles firstToken,
    Quantiles betweenTokens) {
  /** Makes the list of outcomes immutable. */
  public OrganisationReport {
    outcomes = List.copyOf(outcomes);
  }

  /** Returns the fraction of the requests that were completed; 1 if there were no requests. */
  public double completedShare() {
    return arrivals == 0 ? 1 : (double) completed / arrivals;
  }
}

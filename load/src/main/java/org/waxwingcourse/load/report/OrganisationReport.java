package org.waxwingcourse.load.report;

import java.util.List;

/**
 * What one organisation saw.
 *
 * @param name the organisation
 * @param arrivals requests of the plan
 * @param completed requests with their whole and right answer
 * @param outcomes how tries ended, the repeated ones included
 * @param refusedInsideRate tries refused although the organisation was inside its rate and burst
 * @param overRate the most by which admitted tries went over rate and burst, requests
 * @param latency from the scheduled time to the end of the answer
 * @param firstToken from the scheduled time to the first token of a stream
 * @param betweenTokens between the parts of a stream
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
  /** Copies the outcomes. */
  public OrganisationReport {
    outcomes = List.copyOf(outcomes);
  }

  /** Returns the share of the requests that were completed, one if there were none. */
  public double completedShare() {
    return arrivals == 0 ? 1 : (double) completed / arrivals;
  }
}

package org.waxwingcourse.policy.batch;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * Chooses the job that is served next: organisations in turn by deficit round robin, and inside an
 * organisation least slack first, so that a small job due soon passes a large one that came before
 * it, and a large one starts early enough.
 */
public final class JobOrder {
  private static final double EXPECTED_ITEMS_PER_SECOND = 20;

  private final DeficitRoundRobin<OrganisationId> organisations;

  /**
   * Creates an order without history.
   *
   * @param chunkItems items in a full chunk, the quantum of a round
   */
  public JobOrder(int chunkItems) {
    this.organisations = new DeficitRoundRobin<>(chunkItems);
  }

  /**
   * Returns the job to serve.
   *
   * @param jobs the jobs with work waiting
   * @param cost items that serving one of them takes
   */
  public Optional<JobProgress> next(Collection<JobProgress> jobs, int cost, Instant now) {
    Map<OrganisationId, List<JobProgress>> byOrganisation =
        jobs.stream().collect(Collectors.groupingBy(JobProgress::organisation));
    return organisations
        .next(byOrganisation.keySet(), o -> cost)
        .map(o -> mostUrgent(byOrganisation.get(o), now));
  }

  /** Returns the job with the least slack; of two with the same, the first by name. */
  public static JobProgress mostUrgent(List<JobProgress> jobs, Instant now) {
    return jobs.stream()
        .min(
            Comparator.comparing((JobProgress j) -> j.slack(now, EXPECTED_ITEMS_PER_SECOND))
                .thenComparing(JobProgress::job))
        .orElseThrow();
  }
}

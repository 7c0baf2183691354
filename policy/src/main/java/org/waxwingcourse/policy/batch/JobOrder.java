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
 * Selects the job to serve next: deficit round robin between organisations and least slack first
 * within an organisation. A small job that is due soon thus overtakes a large one that was
 * submitted earlier, and a large job starts early enough to meet its deadline.
 */
public final class JobOrder {
  private static final double EXPECTED_ITEMS_PER_SECOND = 20;

  private final DeficitRoundRobin<OrganisationId> roundRobin;

  /**
   * Creates a scheduler in which no organisation has been served yet.
   *
   * @param chunkItems number of items in a full chunk, which is the quantum of a round
   */
  public JobOrder(int chunkItems) {
    this.roundRobin = new DeficitRoundRobin<>(chunkItems);
  }

  /**
   * Returns the job to serve next.
   *
   * @param jobs the jobs that have work waiting
   * @param cost number of items that are charged for serving a job
   */
  public Optional<JobProgress> next(Collection<JobProgress> jobs, int cost, Instant now) {
    Map<OrganisationId, List<JobProgress>> byOrganisation =
        jobs.stream().collect(Collectors.groupingBy(JobProgress::organisation));
    return roundRobin
        .nextFlow(byOrganisation.keySet(), o -> cost)
        .map(o -> jobWithLeastSlack(byOrganisation.get(o), now));
  }

  /** Returns the job with the least slack; ties are broken by the name of the job. */
  public static JobProgress jobWithLeastSlack(List<JobProgress> jobs, Instant now) {
    return jobs.stream()
        .min(
            Comparator.comparing((JobProgress j) -> j.slack(now, EXPECTED_ITEMS_PER_SECOND))
                .thenComparing(JobProgress::job))
        .orElseThrow();
  }
}

package org.waxwingcourse.fleet.plan;

import io.vavr.control.Option;
import java.util.Set;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * The configuration of an organisation.
 *
 * @param id the organisation
 * @param keys API keys that are valid now
 * @param requestsPerSecond requests per second over all hosts, zero for no limit
 * @param burst requests that may come at once in addition to the rate
 * @param rank urgency of its requests, 0 is the highest; replaces the rank of the route
 * @param homes the regions whose engines may get its requests
 */
public record OrganisationPlan(
    OrganisationId id,
    Set<String> keys,
    double requestsPerSecond,
    double burst,
    Option<Integer> rank,
    HomeRegions homes) {
  /** Copies the keys. */
  public OrganisationPlan {
    keys = Set.copyOf(keys);
  }

  /** Creates an organisation whose requests may go to engines in all regions. */
  public OrganisationPlan(
      OrganisationId id,
      Set<String> keys,
      double requestsPerSecond,
      double burst,
      Option<Integer> rank) {
    this(id, keys, requestsPerSecond, burst, rank, HomeRegions.ANY);
  }

  /** Returns whether the organisation has a rate limit. */
  public boolean isLimited() {
    return requestsPerSecond > 0;
  }

  @Override
  public String toString() {
    return "OrganisationPlan[" + id + ", " + keys.size() + " keys]";
  }
}

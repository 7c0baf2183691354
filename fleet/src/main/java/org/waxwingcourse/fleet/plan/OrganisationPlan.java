package org.waxwingcourse.fleet.plan;

import io.vavr.control.Option;
import java.util.Set;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * What is declared of an organisation.
 *
 * @param id the organisation
 * @param keys keys that work now
 * @param perSecond requests a second over all hosts, zero for no limit
 * @param burst requests beyond the rate that may come at once
 * @param rank urgency of its requests, in place of the route's
 */
public record OrganisationPlan(
    OrganisationId id, Set<String> keys, double perSecond, double burst, Option<Integer> rank) {
  /** Copies the keys. */
  public OrganisationPlan {
    keys = Set.copyOf(keys);
  }

  /** Tells whether the organisation is held to a rate. */
  public boolean isLimited() {
    return perSecond > 0;
  }

  @Override
  public String toString() {
    return "OrganisationPlan[" + id + ", " + keys.size() + " keys]";
  }
}

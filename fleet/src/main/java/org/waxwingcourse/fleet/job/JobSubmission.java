package org.waxwingcourse.fleet.job;

import java.util.List;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.wire.fleet.JobItem;

/**
 * A job as submitted.
 *
 * @param id chosen by the caller; the same each time the job is submitted
 * @param organisation the organisation that owns the job
 * @param host host name that the caller requested
 * @param route its route, of kind JOB
 * @param items the items to run
 */
public record JobSubmission(
    JobId id, OrganisationId organisation, String host, Route route, List<JobItem> items) {
  /** Copies the items. */
  public JobSubmission {
    items = List.copyOf(items);
  }

  /** Returns the sum of the tokens of all items. */
  public long tokens() {
    return items.stream().mapToLong(JobItem::getTokens).sum();
  }
}

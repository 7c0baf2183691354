package org.waxwingcourse.fleet.job;

import java.util.List;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.wire.fleet.JobItem;

/**
 * A job as handed in.
 *
 * @param id chosen by the caller, the same each time it is handed in
 * @param organisation whose it is
 * @param host host name that the caller asked for
 * @param route its route, of kind JOB
 * @param items what is to be run
 */
public record JobSubmission(
    JobId id, OrganisationId organisation, String host, Route route, List<JobItem> items) {
  /** Copies the items. */
  public JobSubmission {
    items = List.copyOf(items);
  }

  /** Returns the tokens of all items. */
  public long tokens() {
    return items.stream().mapToLong(JobItem::getTokens).sum();
  }
}

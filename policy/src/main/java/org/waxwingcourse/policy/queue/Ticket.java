package org.waxwingcourse.policy.queue;

import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * A request's place in a queue.
 *
 * @param id the request
 * @param organisation who it runs for
 * @param workClass online or batch
 * @param startBy when starting it ceases to be useful
 */
public record Ticket(
    RequestId id, OrganisationId organisation, WorkClass workClass, Deadline startBy) {
  /** Tells whether a caller waits for it. */
  public boolean isOnline() {
    return workClass == WorkClass.ONLINE;
  }
}

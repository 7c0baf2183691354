package org.waxwingcourse.policy.queue;

import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * A request in a queue.
 *
 * @param id the request
 * @param organisation the organisation that sent it
 * @param workClass the work class, online or batch
 * @param startBy deadline for starting it
 */
public record Ticket(
    RequestId id, OrganisationId organisation, WorkClass workClass, Deadline startBy) {
  /** Returns whether this is an online request, for which a caller is waiting. */
  public boolean isOnline() {
    return workClass == WorkClass.ONLINE;
  }
}

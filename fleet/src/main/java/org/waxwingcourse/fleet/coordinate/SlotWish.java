package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Option;
import java.util.List;
import java.util.Set;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * What a host asks of its coordinator.
 *
 * @param request the caller's request or the job's item
 * @param service whose engines may run it
 * @param workClass online or batch
 * @param rank urgency among online requests, 0 is the highest
 * @param chargedTo whose rate the start counts against, none if it counts against none
 * @param startBy latest start that still meets the objective; of batch work, when it is due
 * @param giveUpAt when it is no longer wanted
 * @param promptParts ids of the shared parts of its prompt, in order
 * @param avoid engines on which it has failed
 */
public record SlotWish(
    RequestId request,
    ServiceName service,
    WorkClass workClass,
    int rank,
    Option<OrganisationId> chargedTo,
    Deadline startBy,
    Deadline giveUpAt,
    List<Long> promptParts,
    Set<UpstreamId> avoid) {
  /** Copies the collections. */
  public SlotWish {
    promptParts = List.copyOf(promptParts);
    avoid = Set.copyOf(avoid);
  }
}

package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * A request for a slot on one engine of a service.
 *
 * @param id names the run
 * @param request the caller's request or the job's item, for logs
 * @param service whose engines may run it
 * @param workClass online or batch
 * @param rank urgency among online requests, 0 is the highest
 * @param chargedTo whose rate the start counts against, none if it was counted before
 * @param askedAt when it came
 * @param startBy latest start that still meets the objective; of batch work, when it is due
 * @param giveUpAt when it is no longer wanted
 * @param promptParts ids of the shared parts of its prompt, in order
 * @param dataCentre where the asking host stands
 * @param avoid engines on which it has failed
 */
public record SlotRequest(
    RunId id,
    RequestId request,
    ServiceName service,
    WorkClass workClass,
    int rank,
    Option<OrganisationId> chargedTo,
    Instant askedAt,
    Deadline startBy,
    Deadline giveUpAt,
    List<Long> promptParts,
    DataCentreId dataCentre,
    Set<UpstreamId> avoid) {
  /** Copies the collections. */
  public SlotRequest {
    promptParts = List.copyOf(promptParts);
    avoid = Set.copyOf(avoid);
  }

  /** Tells whether a caller waits for it. */
  public boolean isOnline() {
    return workClass == WorkClass.ONLINE;
  }
}

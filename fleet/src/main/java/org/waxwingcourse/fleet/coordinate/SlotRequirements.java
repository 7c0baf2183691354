package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Option;
import java.util.List;
import java.util.Set;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.slot.BatchWork;
import org.waxwingcourse.fleet.stream.StreamNeeds;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * The parameters of a host's request for a slot.
 *
 * @param requestId id of the caller's request or the job's item
 * @param service the service whose engines may run it
 * @param workClass online or batch
 * @param rank urgency among online requests, 0 is the highest
 * @param chargedTo organisation whose rate the start counts against, none if it counts against no
 *     rate
 * @param startBy latest start that still meets the objective; of a batch request, latest start that
 *     still meets its due time
 * @param giveUpAt when it expires
 * @param promptParts ids of the shared parts of its prompt, in order
 * @param avoidedEngines engines on which it has failed
 * @param batchWork its work; none for an online request
 * @param fingerprint equal for online requests that ask for the same; none for an item
 * @param stream the stream of the answer; none if the answer is none
 * @param homes the regions whose engines may run it
 * @param preferred of an item: the software that sent the events it has; another has to begin anew
 */
public record SlotRequirements(
    RequestId requestId,
    ServiceName service,
    WorkClass workClass,
    int rank,
    Option<OrganisationId> chargedTo,
    Deadline startBy,
    Deadline giveUpAt,
    List<Long> promptParts,
    Set<UpstreamId> avoidedEngines,
    Option<BatchWork> batchWork,
    Option<RequestFingerprint> fingerprint,
    Option<StreamNeeds> stream,
    HomeRegions homes,
    Option<SoftwareId> preferred) {
  /** Copies the collections. */
  public SlotRequirements {
    promptParts = List.copyOf(promptParts);
    avoidedEngines = Set.copyOf(avoidedEngines);
  }
}

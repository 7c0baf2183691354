package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.stream.StreamKey;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * A request for a slot on one engine of a service.
 *
 * @param id identifies the run
 * @param requestId id of the caller's request or the job's item, for logs
 * @param service the service whose engines may run it
 * @param workClass online or batch
 * @param rank urgency among online requests, 0 is the highest
 * @param chargedTo organisation whose rate the start counts against, none if it was counted before
 * @param receivedAt when the coordinator received it
 * @param startBy latest start that still meets the objective; of a batch request, latest start that
 *     still meets its due time
 * @param giveUpAt when it expires
 * @param promptParts ids of the shared parts of its prompt, in order
 * @param dataCentre data centre of the requesting host
 * @param avoidedEngines engines on which it has failed
 * @param connectedEngines engines to which its host has an idle connection
 * @param batchWork its work; none for an online request
 * @param fingerprint equal for online requests that ask for the same; none for an item
 * @param stream the stream of the answer; none if there is none
 * @param software the only software that may run it, since it sent the events before; of a batch
 *     request the one that need not begin anew; none if any may
 * @param homes the regions whose engines may run it
 */
public record SlotRequest(
    RunId id,
    RequestId requestId,
    ServiceName service,
    WorkClass workClass,
    int rank,
    Option<OrganisationId> chargedTo,
    Instant receivedAt,
    Deadline startBy,
    Deadline giveUpAt,
    List<Long> promptParts,
    DataCentreId dataCentre,
    Set<UpstreamId> avoidedEngines,
    Set<UpstreamId> connectedEngines,
    Option<BatchWork> batchWork,
    Option<RequestFingerprint> fingerprint,
    Option<StreamKey> stream,
    Option<SoftwareId> software,
    HomeRegions homes) {
  /** Copies the collections. */
  public SlotRequest {
    promptParts = List.copyOf(promptParts);
    avoidedEngines = Set.copyOf(avoidedEngines);
    connectedEngines = Set.copyOf(connectedEngines);
  }

  /** Returns whether an engine may run it. */
  boolean accepts(EngineEntry engine) {
    return homes.allow(engine.condition().region()) && (!isOnline() || continuesAt(engine));
  }

  /** Returns whether only some engines may run it. */
  boolean isRestricted() {
    return homes.isRestricted() || isOnline() && software.isDefined();
  }

  /** Returns why no engine may run it although there are some. */
  String describeRestriction() {
    return homes.isRestricted()
        ? "no engine in a home region " + homes.names() + " is available"
        : "no engine of the version that began the stream is available";
  }

  /** Returns whether an engine can go on where an earlier run ended, if there was one. */
  boolean continuesAt(EngineEntry engine) {
    return software.forAll(s -> s.equals(engine.software()));
  }

  /** Returns whether a caller waits for it. */
  public boolean isOnline() {
    return workClass == WorkClass.ONLINE;
  }
}

package org.waxwingcourse.fleet.slot;

import java.time.Instant;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.RefusalCode;

/**
 * A decision of the scheduler. The caller of the scheduler carries it out, outside the scheduler's
 * lock.
 */
public sealed interface SlotDecision {
  /**
   * Starts the request on the engine now.
   *
   * @param probe whether the engine gets no other run until this one has been answered
   */
  record Grant(SlotRequest request, UpstreamId engine, boolean probe) implements SlotDecision {
    Grant(SlotRequest request, UpstreamId engine) {
      this(request, engine, false);
    }
  }

  /**
   * Refuses the request.
   *
   * @param request the request
   * @param code the kind of refusal
   * @param retryAt the earliest time at which a retry can succeed
   * @param reason why the request cannot run, for the log and the caller
   */
  record Refuse(SlotRequest request, RefusalCode code, Instant retryAt, String reason)
      implements SlotDecision {}

  /**
   * Preempts a batch run: it yields its slot to an online request and asks for another.
   *
   * @param run the batch run
   * @param engine the engine that the run occupies
   * @param successor the online request that takes the slot
   */
  record Yield(RunId run, UpstreamId engine, SlotRequest successor) implements SlotDecision {}
}

package org.waxwingcourse.fleet.slot;

import java.time.Instant;
import org.waxwingcourse.model.id.UpstreamId;

/** What the scheduler has decided; carried out by its owner, outside the scheduler's lock. */
public sealed interface Decision {
  /** The request runs now on the engine. */
  record Grant(SlotRequest request, UpstreamId engine) implements Decision {}

  /**
   * The request is not run.
   *
   * @param request the request
   * @param overRate whether its organisation is over its rate
   * @param retryAt the earliest useful time to come back
   * @param reason what stood against it
   */
  record Refuse(SlotRequest request, boolean overRate, Instant retryAt, String reason)
      implements Decision {}

  /**
   * A batch run gives its slot to online work and asks again.
   *
   * @param run the batch run
   * @param engine where it runs
   * @param to the online request that takes the slot
   */
  record Yield(RunId run, UpstreamId engine, SlotRequest to) implements Decision {}
}

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

  /** The batch run gives its slot to online work and asks again. */
  record Yield(RunId run) implements Decision {}
}

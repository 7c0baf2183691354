package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.RefusalCode;

/**
 * Receives the decisions about one request for a slot. Called on network threads; must not block.
 */
public interface SlotListener {
  /**
   * Called when the slot on {@code engine} is granted, after the request waited {@code waited} at
   * the coordinator.
   *
   * @param software that of the engine as the coordinator knows it, none if it does not say
   */
  void onGrant(UpstreamId engine, Option<SoftwareId> software, Duration waited);

  /** Called when the request is refused; it may be repeated at {@code retryAt}. */
  void onRefusal(RefusalCode code, Instant retryAt, String reason);

  /** Called when the run is preempted by an online request; no further calls follow. */
  void onYield();
}

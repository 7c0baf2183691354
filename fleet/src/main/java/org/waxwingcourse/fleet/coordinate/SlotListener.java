package org.waxwingcourse.fleet.coordinate;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.id.UpstreamId;

/** Hears what becomes of a request for a slot. Called on network threads; must not block. */
public interface SlotListener {
  /** The request runs now on {@code engine}, after {@code waited} at the coordinator. */
  void onGrant(UpstreamId engine, Duration waited);

  /** The request is not run; it may come back at {@code retryAt}. */
  void onRefusal(boolean overRate, Instant retryAt, String reason);

  /** The run's slot is taken back for online work; nothing more is heard of it. */
  void onYield();
}

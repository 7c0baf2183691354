package org.waxwingcourse.upstream.engine;

import java.time.Duration;

/**
 * The time limits for responses of an engine; a call that exceeds one is abandoned.
 *
 * @param firstByte the time from sending a request to the head of a streamed response
 * @param nextByte the time between two parts of a streamed response
 * @param control the time for a whole control call, such as load or cancel
 */
public record EngineLimits(Duration firstByte, Duration nextByte, Duration control) {
  /** Limits for engines whose round trip to their host takes a few milliseconds. */
  public static final EngineLimits DEFAULT =
      new EngineLimits(Duration.ofSeconds(5), Duration.ofSeconds(2), Duration.ofSeconds(2));
}

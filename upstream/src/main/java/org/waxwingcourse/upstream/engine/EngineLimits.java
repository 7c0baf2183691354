package org.waxwingcourse.upstream.engine;

import java.time.Duration;

/**
 * How long an engine may keep silent before a call to it is given up.
 *
 * @param firstByte from sending a request to the head of its answer, for streamed answers
 * @param nextByte between two parts of a streamed answer
 * @param control for a whole control call, such as load or cancel
 */
public record EngineLimits(Duration firstByte, Duration nextByte, Duration control) {
  /** Limits for engines within a few milliseconds of their host. */
  public static final EngineLimits DEFAULT =
      new EngineLimits(Duration.ofSeconds(5), Duration.ofSeconds(2), Duration.ofSeconds(2));
}

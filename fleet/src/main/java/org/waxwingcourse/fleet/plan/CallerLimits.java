package org.waxwingcourse.fleet.plan;

import java.time.Duration;

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @param headerBytes largest request header
 * @param bodyBytes largest request body
 * @param headerTimeout time in which a header, and then a body, must arrive
 * @param idleTimeout how long an open connection may rest between requests
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
  /** In force until a configuration says otherwise; as large as operators commonly declare. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
}

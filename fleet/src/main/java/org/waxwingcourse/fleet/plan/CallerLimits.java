package org.waxwingcourse.fleet.plan;

import java.time.Duration;

/**
 * Limits on the requests of callers and on the time that a caller has to send them.
 *
 * @param headerBytes largest request header in bytes
 * @param bodyBytes largest request body in bytes
 * @param headerTimeout time within which a header, and then a body, must be received
 * @param idleTimeout how long an open connection may be idle between requests
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
  /**
   * Applies until a configuration has been read; as large as the limits that operators commonly
   * declare.
   */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
}

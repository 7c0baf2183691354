package org.waxwingcourse.policy.hosts;

import java.time.Duration;

/**
 * Time limits of a planned stop.
 *
 * @param announceLimit how long the stop waits until every host has been notified; must not be less
 *     than the time in which the others detect that this host is unreachable
 * @param answerValidity how long a selection of hosts that contains this host is valid
 * @param clockDrift largest drift between two clocks over that time
 * @param drainLimit how long requests in flight may take to finish
 */
public record StopSettings(
    Duration announceLimit, Duration answerValidity, Duration clockDrift, Duration drainLimit) {
  /** Settings for selections of hosts that are valid for ten seconds. */
  public static final StopSettings DEFAULT =
      new StopSettings(
          Duration.ofSeconds(15),
          Duration.ofSeconds(10),
          Duration.ofSeconds(1),
          Duration.ofMinutes(5));
}

package org.waxwingcourse.policy.hosts;

import java.time.Duration;

/**
 * Times of a planned stop.
 *
 * @param announceLimit how long the stop waits for every host to know of it; not less than it takes
 *     the others to find that this host cannot be reached
 * @param answerValidity how long an answer that names this host holds
 * @param clockDrift by how much two clocks may differ over that time
 * @param drainLimit how long requests underway may still take
 */
public record StopSettings(
    Duration announceLimit, Duration answerValidity, Duration clockDrift, Duration drainLimit) {
  /** Suits answers that hold for ten seconds. */
  public static final StopSettings DEFAULT =
      new StopSettings(
          Duration.ofSeconds(15),
          Duration.ofSeconds(10),
          Duration.ofSeconds(1),
          Duration.ofMinutes(5));
}

package org.waxwingcourse.fleet.job;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.time.Deadline;

/**
 * Decides how long a host waits for the store before it sends the caller of a job elsewhere. A
 * store that is silent to some hosts serves the others, and a job is accepted only once wherever it
 * is sent; so the caller should have time for another host within its objective.
 *
 * <p>Safe for use by several threads.
 */
final class AcceptancePatience {
  /** Part of the objective for an acceptance that one host may use up. */
  private static final double OBJECTIVE_PART = 0.4;

  /** How many times its usual response time a store that answers at all may take. */
  private static final int RESPONSE_TIMES = 4;

  /** After an acceptance without an answer, jobs are sent elsewhere at once for this time. */
  private static final Duration SILENCE_MEMORY = Duration.ofSeconds(1);

  private volatile Deadline silentUntil = Deadline.at(Instant.MIN);

  /** Returns how long to wait for the store. */
  Duration patience(Duration objective, Duration storeResponseTime) {
    Duration part = partOfOneHost(objective);
    Duration usual = storeResponseTime.multipliedBy(RESPONSE_TIMES);
    return part.compareTo(usual) >= 0 ? part : usual;
  }

  /** Returns the part of the objective for an acceptance that one host may use up. */
  static Duration partOfOneHost(Duration objective) {
    return Duration.ofNanos((long) (OBJECTIVE_PART * objective.toNanos()));
  }

  void recordSilence(Instant now) {
    silentUntil = Deadline.at(now.plus(SILENCE_MEMORY));
  }

  void recordAnswer() {
    silentUntil = Deadline.at(Instant.MIN);
  }

  /** Returns whether the store has just left an acceptance unanswered. */
  boolean isStoreSilent(Instant now) {
    return !silentUntil.isPast(now);
  }
}

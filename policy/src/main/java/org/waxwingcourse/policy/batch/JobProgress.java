package org.waxwingcourse.policy.batch;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;

/**
 * Progress of a batch job.
 *
 * @param job the job
 * @param organisation the organisation that submitted it
 * @param created time at which it was accepted
 * @param due deadline by which it must be complete
 * @param items total number of items
 * @param succeeded items with a successful response
 * @param failed items that ended with an error
 * @param chunks total number of chunks
 * @param claimed chunks that a host is processing
 * @param committed chunks whose results are stored
 */
public record JobProgress(
    JobId job,
    OrganisationId organisation,
    Instant created,
    Deadline due,
    int items,
    int succeeded,
    int failed,
    int chunks,
    int claimed,
    int committed) {
  /** Returns the number of items that have no stored result. */
  public int remaining() {
    return items - succeeded - failed;
  }

  /** Returns the number of chunks that are neither claimed by a host nor committed. */
  public int free() {
    return chunks - claimed - committed;
  }

  /** Returns the mean number of items completed per second since the job was accepted. */
  public double itemsPerSecond(Instant now) {
    double seconds = Math.max(1, Duration.between(created, now).toMillis()) / 1000.0;
    return (succeeded + failed) / seconds;
  }

  /** Returns the time that the remaining items take at {@code rate} items per second. */
  public Duration remainingTime(double rate) {
    return Duration.ofMillis((long) (1000 * remaining() / rate));
  }

  /**
   * Returns the slack: the time until the deadline minus the time that the remaining items take.
   *
   * @param rate expected rate in items per second
   */
  public Duration slack(Instant now, double rate) {
    return Duration.between(now, due.at()).minus(remainingTime(rate));
  }
}

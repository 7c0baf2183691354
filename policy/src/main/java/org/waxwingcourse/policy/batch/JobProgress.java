package org.waxwingcourse.policy.batch;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;

/**
 * How far a job has come.
 *
 * @param job the job
 * @param organisation who it runs for
 * @param created when it was accepted
 * @param due when it is to be finished
 * @param items how many items it has
 * @param succeeded items with an answer
 * @param failed items that ended with an error
 * @param chunks how many chunks it has
 * @param claimed chunks that a host is running
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
  /** Returns the number of items without a stored result. */
  public int remaining() {
    return items - succeeded - failed;
  }

  /** Returns the number of chunks that no host runs and that have no results. */
  public int free() {
    return chunks - claimed - committed;
  }

  /** Returns the items per second since the job was accepted. */
  public double itemsPerSecond(Instant now) {
    double seconds = Math.max(1, Duration.between(created, now).toMillis()) / 1000.0;
    return (succeeded + failed) / seconds;
  }

  /** Returns the time that the rest takes at {@code rate} items a second. */
  public Duration timeFor(double rate) {
    return Duration.ofMillis((long) (1000 * remaining() / rate));
  }

  /**
   * Returns the slack: the time to the deadline less the time that the rest takes.
   *
   * @param rate items per second that a job can expect
   */
  public Duration slack(Instant now, double rate) {
    return Duration.between(now, due.at()).minus(timeFor(rate));
  }
}

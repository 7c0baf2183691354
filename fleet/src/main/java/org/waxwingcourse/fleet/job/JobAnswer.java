package org.waxwingcourse.fleet.job;

import java.time.Duration;
import java.util.List;
import org.waxwingcourse.wire.fleet.JobResult;

/** What a call about a job leads to. */
public sealed interface JobAnswer {
  /** The job is kept: it will be run, or it has been accepted before. */
  record Accepted() implements JobAnswer {}

  /** The job is ended, now or before. */
  record Closed() implements JobAnswer {}

  /**
   * Nothing of the job is run for this call.
   *
   * @param overLimit whether the organisation's waiting tokens leave no room
   * @param retryAfter when to come back
   * @param reason why
   */
  record Refused(boolean overLimit, Duration retryAfter, String reason) implements JobAnswer {}

  /** The store did not say whether the call took effect; the caller may repeat it. */
  record Unknown(String reason) implements JobAnswer {}

  /** The organisation has no such job, or the job no such item. */
  record NotFound() implements JobAnswer {}

  /**
   * Results of a job.
   *
   * @param total number of items
   * @param after position of the first result given
   * @param results the results from there on
   */
  record Page(int total, int after, List<JobResult> results) implements JobAnswer {}

  /** The body of an item. */
  record Body(byte[] bytes) implements JobAnswer {}
}

package org.waxwingcourse.fleet.job;

import java.time.Duration;
import java.util.List;
import org.waxwingcourse.wire.fleet.JobResult;

/** The answer to a call about a job. */
public sealed interface JobAnswer {
  /** The job is stored and will be run, or was accepted before. */
  record Accepted() implements JobAnswer {}

  /** The job is closed or finished, by this call or before. */
  record Closed() implements JobAnswer {}

  /**
   * The call has no effect now: nothing of the job runs because of it. The end of a job may still
   * be carried out later.
   *
   * @param overLimit whether the limit on the organisation's waiting tokens is exceeded
   * @param retryAfter time after which the caller may retry
   * @param reason why the call was refused
   */
  record Refused(boolean overLimit, Duration retryAfter, String reason) implements JobAnswer {}

  /** The job can never be stored, however often it is submitted. */
  record TooLarge(String reason) implements JobAnswer {}

  /** Whether the call took effect is not known; the caller may repeat it. */
  record Unknown(String reason) implements JobAnswer {}

  /** The organisation has no such job, or the job has no such item. */
  record NotFound() implements JobAnswer {}

  /**
   * Results of a job.
   *
   * @param total number of items of the job
   * @param after position of the first result
   * @param results the results from that position on
   */
  record Page(int total, int after, List<JobResult> results) implements JobAnswer {}

  /** The body of an item. */
  record Body(byte[] bytes) implements JobAnswer {}
}

package org.waxwingcourse.node.batch;

import org.waxwingcourse.batch.job.Results;
import org.waxwingcourse.model.id.JobId;

/** The ids of a job's output and error files, which are views of its results. */
final class ResultFileIds {
  private static final String OUTPUT_PREFIX = "output_";
  private static final String ERRORS_PREFIX = "errors_";
  private static final String JOB_PREFIX = "batch_";

  private ResultFileIds() {}

  static String outputOf(JobId job) {
    return OUTPUT_PREFIX + job.value().substring(JOB_PREFIX.length());
  }

  static String errorsOf(JobId job) {
    return ERRORS_PREFIX + job.value().substring(JOB_PREFIX.length());
  }

  static boolean isResultFile(String id) {
    return id.startsWith(OUTPUT_PREFIX) || id.startsWith(ERRORS_PREFIX);
  }

  static JobId jobOf(String id) {
    return JobId.of(JOB_PREFIX + id.substring(OUTPUT_PREFIX.length()));
  }

  static char kindOf(String id) {
    return id.startsWith(OUTPUT_PREFIX) ? Results.SUCCEEDED : Results.FAILED;
  }
}

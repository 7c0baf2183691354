package org.waxwingcourse.node.batch;

import org.waxwingcourse.batch.job.Results;
import org.waxwingcourse.model.id.JobId;

/** Names of a job's output and error files, which are views of its results. */
final class ResultFile {
  private static final String OUTPUT = "output_";
  private static final String ERRORS = "errors_";
  private static final String JOB = "batch_";

  private ResultFile() {}

  static String output(JobId job) {
    return OUTPUT + job.value().substring(JOB.length());
  }

  static String errors(JobId job) {
    return ERRORS + job.value().substring(JOB.length());
  }

  static boolean isResult(String id) {
    return id.startsWith(OUTPUT) || id.startsWith(ERRORS);
  }

  static JobId job(String id) {
    return JobId.of(JOB + id.substring(OUTPUT.length()));
  }

  static char kind(String id) {
    return id.startsWith(OUTPUT) ? Results.SUCCEEDED : Results.FAILED;
  }
}

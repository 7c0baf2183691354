package org.waxwingcourse.policy.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import org.waxwingcourse.model.fleet.Rate;

/** Explains in one sentence whether a job will miss its deadline and what delays it. */
public final class WhyLate {
  private static final double RATE_LIMITED_FRACTION = 0.9;

  private WhyLate() {}

  /**
   * Returns the explanation for a job.
   *
   * @param rate the rate limit of the job's organisation, which applies to all of the
   *     organisation's work
   */
  public static String explain(JobProgress job, Rate rate, Instant now) {
    if (job.remaining() == 0) {
      return String.format(
          "job \"%s\" has a result for each of its %d items", job.job(), job.items());
    }
    String due = describeDeadline(job, now);
    if (job.claimed() == 0) {
      return due
          + "; no host is processing it: check that hosts are alive and that the store responds";
    }
    double meanRate = job.itemsPerSecond(now);
    if (meanRate == 0) {
      return due
          + String.format(
              "; %s, but none has committed its results yet", describeRunningChunks(job));
    }
    return due + "; " + describeRate(job, rate, now, meanRate);
  }

  private static String describeDeadline(JobProgress job, Instant now) {
    String when =
        job.due().isPast(now)
            ? "was due " + formatDuration(Duration.between(job.due().at(), now)) + " ago"
            : "is due in " + formatDuration(job.due().remaining(now));
    return String.format(
        "job \"%s\" %s with %d of %d items left", job.job(), when, job.remaining(), job.items());
  }

  private static String describeRate(JobProgress job, Rate rate, Instant now, double meanRate) {
    String currentRate = String.format(Locale.ROOT, "%.1f items/s so far", meanRate);
    String remainingTime =
        "the remaining items take " + formatDuration(job.remainingTime(meanRate));
    if (!job.slack(now, meanRate).isNegative()) {
      return String.format("on time: at %s %s", currentRate, remainingTime);
    }
    if (meanRate >= RATE_LIMITED_FRACTION * rate.perSecond()) {
      return String.format(
          Locale.ROOT,
          "late: at %s %s, and the organisation's rate limit is %.1f/s:"
              + " add an exception to raise it",
          currentRate,
          remainingTime,
          rate.perSecond());
    }
    if (job.free() > 0) {
      return String.format(
          "late: at %s %s, %d chunks are waiting for a host:" + " engines are busy with other work",
          currentRate, remainingTime, job.free());
    }
    return String.format(
        "late: at %s %s, %s", currentRate, remainingTime, describeRunningChunks(job));
  }

  private static String describeRunningChunks(JobProgress job) {
    return job.claimed() + " chunks are running";
  }

  private static String formatDuration(Duration d) {
    long minutes = d.toMinutes();
    if (minutes == 0) {
      return d.toSeconds() + " s";
    }
    return minutes < 60 ? minutes + " min" : d.toHours() + " h " + minutes % 60 + " min";
  }
}

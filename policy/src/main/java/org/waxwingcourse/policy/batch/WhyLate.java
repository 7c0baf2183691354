package org.waxwingcourse.policy.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import org.waxwingcourse.model.fleet.Rate;

/** Says in one sentence whether a job will be late, and what holds it up. */
public final class WhyLate {
  private static final double NEAR_RATE = 0.9;

  private WhyLate() {}

  /**
   * Explains how a job stands against its deadline.
   *
   * @param rate the rate of its organisation, shared by all of the organisation's work
   */
  public static String explain(JobProgress job, Rate rate, Instant now) {
    if (job.remaining() == 0) {
      return String.format(
          "job \"%s\" has a result for each of its %d items", job.job(), job.items());
    }
    String due = dueText(job, now);
    if (job.claimed() == 0) {
      return due + "; no host runs any of it: see whether hosts are live and the store answers";
    }
    double speed = job.itemsPerSecond(now);
    if (speed == 0) {
      return due + String.format("; %s, nothing is committed yet", holders(job));
    }
    return due + "; " + speedText(job, rate, now, speed);
  }

  private static String dueText(JobProgress job, Instant now) {
    String when =
        job.due().isPast(now)
            ? "was due " + text(Duration.between(job.due().at(), now)) + " ago"
            : "is due in " + text(job.due().remaining(now));
    return String.format(
        "job \"%s\" %s with %d of %d items left", job.job(), when, job.remaining(), job.items());
  }

  private static String speedText(JobProgress job, Rate rate, Instant now, double speed) {
    String pace = String.format(Locale.ROOT, "%.1f items/s so far", speed);
    String rest = "the rest takes " + text(job.timeFor(speed));
    if (!job.slack(now, speed).isNegative()) {
      return String.format("on time: at %s %s", pace, rest);
    }
    if (speed >= NEAR_RATE * rate.perSecond()) {
      return String.format(
          Locale.ROOT,
          "late: at %s %s, and the organisation's rate is %.1f/s: raise it by an exception",
          pace,
          rest,
          rate.perSecond());
    }
    if (job.free() > 0) {
      return String.format(
          "late: at %s %s, %d chunks wait for a host: engines are busy with other work",
          pace, rest, job.free());
    }
    return String.format("late: at %s %s, %s", pace, rest, holders(job));
  }

  private static String holders(JobProgress job) {
    return job.claimed() + " chunks are running";
  }

  private static String text(Duration d) {
    long minutes = d.toMinutes();
    if (minutes == 0) {
      return d.toSeconds() + " s";
    }
    return minutes < 60 ? minutes + " min" : d.toHours() + " h " + minutes % 60 + " min";
  }
}

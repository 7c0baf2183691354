package org.waxwingcourse.batch.job;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.List;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.policy.batch.JobProgress;
import org.waxwingcourse.policy.batch.WhyLate;

/** What operators ask about jobs. */
public final class JobReader {
  private final Jobs jobs;
  private final InstantSource clock;

  /** Creates a reader over the book of jobs. */
  public JobReader(Jobs jobs, InstantSource clock) {
    this.jobs = jobs;
    this.clock = clock;
  }

  /** Returns an organisation's jobs, newest first. */
  public Either<Outcome, List<Job>> list(OrganisationId organisation) {
    return jobs.list(organisation);
  }

  /** Returns a job. */
  public Either<Outcome, Job> show(JobId id) {
    return jobs.find(id).map(StoredJob::job);
  }

  /** Returns how far a job has come. */
  public Either<Outcome, JobProgress> progress(JobId id) {
    return show(id).flatMap(this::progress);
  }

  /** Returns how far a job has come that was read already. */
  public Either<Outcome, JobProgress> progress(Job job) {
    return jobs.states(job)
        .map(ChunkStates::progress)
        .mapLeft(f -> (Outcome) new Outcome.Unknown(f.message()));
  }

  /** Returns one line about a job's state and progress. */
  public Either<Outcome, String> describe(JobId id) {
    return show(id).flatMap(job -> progress(job).map(p -> line(job, p)));
  }

  private static String line(Job job, JobProgress p) {
    return String.format(
        "%s %s: %d of %d items answered, %d failed, %d chunks running, %d waiting, due %s",
        job.id(),
        job.state().wireName(),
        p.succeeded(),
        p.items(),
        p.failed(),
        p.claimed(),
        p.free(),
        job.due().at());
  }

  /** Cancels a job; see {@link Jobs#cancel}. */
  public Either<Outcome, Job> cancel(JobId id) {
    return jobs.cancel(id);
  }

  /**
   * Says in a sentence whether a job will be late and why.
   *
   * @param rate the rate of the job's organisation
   */
  public Either<Outcome, String> why(JobId id, Rate rate) {
    return progress(id).map(p -> WhyLate.explain(p, rate, clock.instant()));
  }
}

package org.waxwingcourse.batch.job;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.List;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.policy.batch.JobDelayExplanation;
import org.waxwingcourse.policy.batch.JobProgress;

/** The operations on jobs that operators use. */
public final class JobOperations {
  private final Jobs jobs;
  private final InstantSource clock;

  /** Creates a reader of the given jobs. */
  public JobOperations(Jobs jobs, InstantSource clock) {
    this.jobs = jobs;
    this.clock = clock;
  }

  /** Returns an organisation's jobs, newest first. */
  public Either<Outcome, List<Job>> list(OrganisationId organisation) {
    return jobs.list(organisation);
  }

  /** Returns a job. */
  public Either<Outcome, Job> find(JobId id) {
    return jobs.find(id).map(StoredJob::job);
  }

  /** Returns a job's progress. */
  public Either<Outcome, JobProgress> progress(JobId id) {
    return find(id).flatMap(this::progress);
  }

  /** Returns the progress of a job that was already read. */
  public Either<Outcome, JobProgress> progress(Job job) {
    return jobs.readChunkStates(job)
        .map(ChunkStates::progress)
        .mapLeft(f -> (Outcome) new Outcome.Unknown(f.message()));
  }

  /** Returns one line of text with a job's state and progress. */
  public Either<Outcome, String> describe(JobId id) {
    return find(id).flatMap(job -> progress(job).map(jobProgress -> formatLine(job, jobProgress)));
  }

  private static String formatLine(Job job, JobProgress jobProgress) {
    return String.format(
        "%s %s: %d of %d items answered, %d failed, %d chunks running, %d waiting, due %s",
        job.id(),
        job.state().wireName(),
        jobProgress.succeeded(),
        jobProgress.items(),
        jobProgress.failed(),
        jobProgress.claimed(),
        jobProgress.unclaimedChunks(),
        job.due().at());
  }

  /** Cancels a job; see {@link Jobs#cancel}. */
  public Either<Outcome, Job> cancel(JobId id) {
    return jobs.cancel(id);
  }

  /**
   * Returns a sentence that tells whether a job will be late, and why.
   *
   * @param rate the rate of the job's organisation
   */
  public Either<Outcome, String> explainLateness(JobId id, Rate rate) {
    return progress(id)
        .map(jobProgress -> JobDelayExplanation.explain(jobProgress, rate, clock.instant()));
  }
}

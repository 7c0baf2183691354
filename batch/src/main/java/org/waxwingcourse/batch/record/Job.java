package org.waxwingcourse.batch.record;

import java.time.Instant;
import java.util.Map;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.batch.JobProgress;

/**
 * The manifest of a job. It changes only with the job's state, so that chunks are committed side by
 * side and all compare the same revision of it.
 *
 * @param id the job, which names its organisation
 * @param organisation who it runs for
 * @param spec what was asked for
 * @param input where its items are
 * @param repeatable whether an item may be sent again when its answer was lost
 * @param created when it was accepted
 * @param due when it is to be finished
 * @param expires when its results may be removed
 * @param state where it stands
 * @param changed when the state was entered
 * @param counts items with results, exact once the job has ended
 * @param operation marks the write that made this version
 */
public record Job(
    JobId id,
    OrganisationId organisation,
    JobSpec spec,
    InputRef input,
    boolean repeatable,
    Instant created,
    Deadline due,
    Deadline expires,
    JobState state,
    Instant changed,
    Counts counts,
    String operation) {

  /**
   * What a caller asked for; two requests with the same key must agree in it.
   *
   * @param file the input file
   * @param endpoint path that each item is sent to
   * @param window time from acceptance to the deadline as the caller wrote it
   * @param metadata the caller's own notes
   */
  public record JobSpec(FileId file, String endpoint, String window, Map<String, String> metadata) {
    /** Metadata name that declares whether an item may be sent more than once. */
    public static final String REPEATABLE = "repeatable";

    /** Copies the metadata. */
    public JobSpec {
      metadata = Map.copyOf(metadata);
    }

    /** Tells whether the caller lets an item be sent again when its answer was lost. */
    public boolean allowsRepeats() {
      return !"false".equals(metadata.get(REPEATABLE));
    }
  }

  /**
   * Where the items are.
   *
   * @param upload the upload that stored the chunks
   * @param chunks how many chunks there are
   * @param items how many items there are in all
   */
  public record InputRef(String upload, int chunks, int items) {}

  /**
   * Items with results.
   *
   * @param succeeded items with an answer
   * @param failed items that ended with an error
   */
  public record Counts(int succeeded, int failed) {
    /** No results at all. */
    public static final Counts NONE = new Counts(0, 0);

    /** Returns the sum of both. */
    public Counts plus(Counts other) {
      return new Counts(succeeded + other.succeeded, failed + other.failed);
    }
  }

  /** Returns the job in another state. */
  public Job in(JobState next, Instant now, Counts newCounts, String newOperation) {
    return new Job(
        id,
        organisation,
        spec,
        input,
        repeatable,
        created,
        due,
        expires,
        next,
        now,
        newCounts,
        newOperation);
  }

  /** Returns how far the job has come, given its counts and the states of its chunks. */
  public JobProgress progress(Counts now, int claimed, int committed) {
    return new JobProgress(
        id,
        organisation,
        created,
        due,
        input.items(),
        now.succeeded(),
        now.failed(),
        input.chunks(),
        claimed,
        committed);
  }
}

package org.waxwingcourse.batch.record;

import java.time.Instant;
import java.util.Map;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.batch.JobProgress;

/**
 * The manifest of a job. It is written only when the job's state changes, so that concurrent
 * commits of chunks can all compare its revision without conflicting with each other.
 *
 * @param id the job's id, which contains its organisation
 * @param organisation the organisation that owns the job
 * @param spec the parameters of the request
 * @param input the location of its items
 * @param repeatable whether an item may be sent again if its response was lost
 * @param created when the job was accepted
 * @param due the job's deadline
 * @param expires when its results may be deleted
 * @param state the current state
 * @param changed when the job entered its state
 * @param counts the number of items with results, exact only after the job has ended
 * @param operation unique id of the write that created this version
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
   * The parameters of a job request. Requests with the same idempotency key must have equal
   * parameters.
   *
   * @param file the input file
   * @param endpoint the path that every item is sent to
   * @param window the time from acceptance to the deadline, as written by the caller
   * @param metadata the caller's metadata
   */
  public record JobSpec(FileId file, String endpoint, String window, Map<String, String> metadata) {
    /** The metadata key that declares whether an item may be sent more than once. */
    public static final String REPEATABLE = "repeatable";

    /** Copies the metadata. */
    public JobSpec {
      metadata = Map.copyOf(metadata);
    }

    /** Returns whether the caller allows an item to be sent again if its response was lost. */
    public boolean allowsRepeats() {
      return !"false".equals(metadata.get(REPEATABLE));
    }
  }

  /**
   * The location of the items.
   *
   * @param upload the id of the upload that stored the chunks
   * @param chunks the number of chunks
   * @param items the total number of items
   */
  public record InputRef(String upload, int chunks, int items) {}

  /**
   * The number of items with results.
   *
   * @param succeeded items that succeeded
   * @param failed items that ended with an error
   */
  public record Counts(int succeeded, int failed) {
    /** No results. */
    public static final Counts NONE = new Counts(0, 0);

    /** Returns the sum of both counts. */
    public Counts plus(Counts other) {
      return new Counts(succeeded + other.succeeded, failed + other.failed);
    }
  }

  /** Returns the manifest with a new state and new counts. */
  public Job withState(JobState newState, Instant now, Counts newCounts, String newOperation) {
    return new Job(
        id,
        organisation,
        spec,
        input,
        repeatable,
        created,
        due,
        expires,
        newState,
        now,
        newCounts,
        newOperation);
  }

  /**
   * Returns the job's progress, given its counts and the number of claimed and committed chunks.
   */
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

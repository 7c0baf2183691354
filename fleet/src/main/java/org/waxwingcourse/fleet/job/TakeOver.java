package org.waxwingcourse.fleet.job;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.wire.fleet.JobRecord;

/**
 * Decides how a host goes on with a job that it may have to run. It ends only when the job runs
 * here, or when a record that was read shows that it is not this host's and no write of this host
 * can change that any more: a job whose record names a live process is given to nobody else.
 *
 * <p>Safe for use by several threads.
 */
final class TakeOver {
  /** Time within which the store executes a write that it has not answered, and a margin. */
  static final Duration LATE_WRITE_LIMIT = Duration.ofSeconds(8);

  private final RunnerName self;
  private Option<Deadline> lateWriteUntil = Option.none();
  private boolean assigned;
  private boolean claimRefused;
  private boolean ended;

  /** What is done next. */
  enum Next {
    /** Write a claim under the condition of the record that was read. */
    CLAIM,
    /** Read items and results, and run the job. */
    RESUME,
    /** Read the record at once. */
    READ,
    /** Read the record after a while. */
    READ_LATER,
    /** Remove the entry that names the runner of a finished or closed job. */
    REMOVE_ENTRY,
    /** The job is not this host's. */
    END
  }

  TakeOver(RunnerName self) {
    this.self = self;
  }

  /** Adds that the job has no runner and is assigned here. Returns false if this has ended. */
  synchronized boolean assign() {
    assigned = true;
    claimRefused = false;
    return !ended;
  }

  /**
   * Adds that a write that names this host as the job's runner was not answered. Returns false if
   * this has ended.
   */
  synchronized boolean expectLateWrite(Instant now) {
    lateWriteUntil = Option.some(Deadline.at(now.plus(LATE_WRITE_LIMIT)));
    return !ended;
  }

  /** Decides by the job's record as read after {@code readAt}. */
  synchronized Next onRecord(
      Either<StoreFailure, Option<JobStore.StoredRecord>> answer, Instant readAt) {
    if (answer.isLeft()) {
      return Next.READ_LATER;
    }
    boolean mayBeWritten = lateWriteUntil.exists(d -> !d.isPast(readAt));
    if (answer.get().isEmpty()) {
      return mayBeWritten ? Next.READ_LATER : end(Next.END);
    }
    JobRecord record = answer.get().get().record();
    if (record.getClosed() || ResultLog.isComplete(record)) {
      return end(Next.REMOVE_ENTRY);
    }
    if (self.isRunnerOf(record)) {
      return Next.RESUME;
    }
    if (assigned && !claimRefused) {
      return Next.CLAIM;
    }
    return mayBeWritten ? Next.READ_LATER : end(Next.END);
  }

  /** Decides by the outcome of a claim. */
  synchronized Next onClaimed(WriteOutcome outcome, Instant now) {
    if (outcome instanceof WriteOutcome.Done) {
      return Next.RESUME;
    }
    if (outcome instanceof WriteOutcome.Lost) {
      // An earlier claim of this host may be what has changed the record.
      claimRefused = true;
      return Next.READ;
    }
    if (outcome instanceof WriteOutcome.Unknown) {
      expectLateWrite(now);
    }
    return Next.READ_LATER;
  }

  /** Decides by whether items and results could be read. */
  synchronized Next onContent(boolean isReadable) {
    return isReadable ? end(Next.END) : Next.READ_LATER;
  }

  private Next end(Next last) {
    ended = true;
    return last;
  }
}

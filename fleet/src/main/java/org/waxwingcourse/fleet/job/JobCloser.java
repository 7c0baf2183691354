package org.waxwingcourse.fleet.job;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.wire.fleet.JobRecord;

/**
 * Ends jobs for their callers. An end that the store does not take is tried again, since its caller
 * may not return when the store does, and what runs meanwhile is wasted.
 *
 * <p>Safe for use by several threads.
 */
final class JobCloser {
  private static final EventLog LOG = EventLog.of(JobCloser.class);

  /** Maximum number of conflicts with changes by other hosts in one try. */
  private static final int MAX_CONFLICTS = 8;

  /** Interval between tries to end a job; outages of the store last a second or more. */
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

  /** How long an end is tried again; much shorter than jobs are kept. */
  private static final Duration RETRY_LIMIT = Duration.ofSeconds(30);

  /** Maximum number of ends that are tried again, so that an outage does not fill the memory. */
  private static final int MAX_RETRIED = 500;

  private final JobStore store;
  private final InstantSource clock;
  private final ScheduledExecutorService timer;
  private final Function<StoreFailure, JobAnswer> refusal;
  private final BiConsumer<JobId, HostId> onClosed;
  private final Set<JobId> retried = ConcurrentHashMap.newKeySet();

  /** An end that the store has not taken yet. */
  private record RetriedEnd(OrganisationId organisation, Deadline until) {}

  /**
   * Creates a closer.
   *
   * @param clock the steady clock
   * @param refusal returns the answer to a caller whose call the store did not take
   * @param onClosed called with each job that is found closed and the runner that its record names
   */
  JobCloser(
      JobStore store,
      InstantSource clock,
      ScheduledExecutorService timer,
      Function<StoreFailure, JobAnswer> refusal,
      BiConsumer<JobId, HostId> onClosed) {
    this.store = store;
    this.clock = clock;
    this.timer = timer;
    this.refusal = refusal;
    this.onClosed = onClosed;
  }

  /** Ends a job of an organisation. */
  CompletableFuture<JobAnswer> close(JobId job, OrganisationId organisation) {
    return tryClose(job, organisation, 0)
        .thenApply(
            answer -> {
              if (!isFinal(answer)) {
                retry(job, new RetriedEnd(organisation, Deadline.after(clock, RETRY_LIMIT)));
              }
              return answer;
            });
  }

  private static boolean isFinal(JobAnswer answer) {
    return !(answer instanceof JobAnswer.Refused || answer instanceof JobAnswer.Unknown);
  }

  private void retry(JobId job, RetriedEnd end) {
    if (retried.size() < MAX_RETRIED && retried.add(job)) {
      scheduleRetry(job, end);
    }
  }

  private void scheduleRetry(JobId job, RetriedEnd end) {
    timer.schedule(() -> closeAgain(job, end), RETRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void closeAgain(JobId job, RetriedEnd end) {
    if (end.until().isPast(clock.instant())) {
      retried.remove(job);
      LOG.write(Event.JOB_END_GIVEN_UP, job, end.organisation());
      return;
    }
    tryClose(job, end.organisation(), 0)
        .exceptionally(e -> new JobAnswer.Unknown(e.toString()))
        .thenAccept(
            answer -> {
              if (isFinal(answer)) {
                retried.remove(job);
              } else {
                scheduleRetry(job, end);
              }
            });
  }

  private CompletableFuture<JobAnswer> tryClose(
      JobId job, OrganisationId organisation, int conflicts) {
    return store
        .readRecord(job)
        .thenCompose(
            answer -> {
              if (answer.isLeft()) {
                return completed(refusal.apply(answer.getLeft()));
              }
              if (!answer.get().exists(s -> s.belongsTo(organisation))) {
                return completed(new JobAnswer.NotFound());
              }
              return tryClose(job, organisation, answer.get().get(), conflicts);
            });
  }

  private CompletableFuture<JobAnswer> tryClose(
      JobId job, OrganisationId organisation, JobStore.StoredRecord found, int conflicts) {
    JobRecord record = found.record();
    if (record.getClosed()) {
      // By a write of this host that was not answered, or by another host that may be gone.
      LOG.write(Event.JOB_FOUND_CLOSED, job, organisation, record.getRunner());
      onClosed.accept(job, HostId.of(record.getRunner()));
      return completed(new JobAnswer.Closed());
    }
    if (ResultLog.isComplete(record)) {
      return completed(new JobAnswer.Closed());
    }
    JobRecord closed = record.toBuilder().setClosed(true).build();
    Transaction transaction =
        Transaction.builder()
            .requireUnmodified(StoreKeys.jobKey(job), found.revision())
            .put(StoreKeys.jobKey(job), closed.toByteArray())
            .delete(StoreKeys.runnerKey(job))
            .build();
    return store
        .write(transaction)
        .thenCompose(
            outcome -> {
              if (outcome instanceof WriteOutcome.Done) {
                LOG.write(Event.JOB_CLOSED, job, organisation, record.getRunner());
                onClosed.accept(job, HostId.of(record.getRunner()));
                return completed(new JobAnswer.Closed());
              }
              if (outcome instanceof WriteOutcome.NotSent notSent) {
                return completed(refusal.apply(notSent.failure()));
              }
              return conflicts < MAX_CONFLICTS
                  ? tryClose(job, organisation, conflicts + 1)
                  : completed(
                      new JobAnswer.Unknown(
                          "the job record was changed concurrently on every attempt"));
            });
  }

  private static CompletableFuture<JobAnswer> completed(JobAnswer answer) {
    return CompletableFuture.completedFuture(answer);
  }
}

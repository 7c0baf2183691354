package org.waxwingcourse.fleet.job;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreAnswers;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.wire.fleet.JobRecord;

/** Removes finished or abandoned jobs whose retention has ended. Runs on the coordinator. */
public final class ExpiredJobRemover {
  private static final EventLog LOG = EventLog.of(ExpiredJobRemover.class);

  /** Time that is added to the retention, since the clocks of hosts differ. */
  private static final Duration CLOCK_MARGIN = Duration.ofSeconds(30);

  /**
   * Maximum number of item and result parts that are removed in one transaction, beside the record
   * and the runner entry.
   */
  private static final int MAX_PARTS_PER_TRANSACTION = 28;

  /**
   * Maximum number of jobs removed in one run; bounds the number of store calls after a backlog.
   */
  private static final int MAX_JOBS_PER_RUN = 20;

  private final Store store;
  private final InstantSource wall;
  private final Duration retention;

  /** Creates a remover of jobs that were submitted longer than {@code retention} ago. */
  public ExpiredJobRemover(Store store, InstantSource wall, Duration retention) {
    this.store = store;
    this.wall = wall;
    this.retention = retention.plus(CLOCK_MARGIN);
  }

  /** Checks all jobs once and removes the expired ones. */
  public void removeExpired() {
    StoreAnswers.handle(
        store.read(KeyRange.ofPrefix(StoreKeys.JOBS_PREFIX)),
        "a read of all jobs",
        this::onJobs,
        failure -> {});
  }

  private void onJobs(Either<StoreFailure, Snapshot> answer) {
    if (answer.isLeft()) {
      return;
    }
    Instant now = wall.instant();
    answer.get().entries().stream()
        .filter(e -> isExpired(e, now))
        .limit(MAX_JOBS_PER_RUN)
        .forEach(this::removeJob);
  }

  private boolean isExpired(Entry entry, Instant now) {
    return StoreKeys.findJob(entry.key(), StoreKeys.JOBS_PREFIX).isDefined()
        && JobStore.parseRecord(entry).exists(s -> isExpired(s.record(), now));
  }

  private boolean isExpired(JobRecord record, Instant now) {
    Instant accepted = Instant.ofEpochMilli(record.getAcceptedMillis());
    boolean finished =
        record.getClosed()
            || ResultLog.isComplete(record)
            || now.toEpochMilli() > record.getGiveUpMillis();
    return finished && now.isAfter(accepted.plus(retention));
  }

  private void removeJob(Entry entry) {
    JobId job = StoreKeys.findJob(entry.key(), StoreKeys.JOBS_PREFIX).get();
    JobRecord record = JobStore.parseRecord(entry).get().record();
    Transaction.Builder builder =
        Transaction.builder()
            .requireUnmodified(entry.key(), entry.modified())
            .delete(entry.key())
            .delete(StoreKeys.runnerKey(job));
    for (int i = 0; i < record.getItemParts(); i++) {
      builder.delete(StoreKeys.itemsKey(job, i));
    }
    int withRecord =
        Math.min(record.getResultPartsCount(), MAX_PARTS_PER_TRANSACTION - record.getItemParts());
    deleteResults(builder, job, 0, withRecord);
    for (int i = withRecord; i < record.getResultPartsCount(); i += MAX_PARTS_PER_TRANSACTION) {
      int end = Math.min(record.getResultPartsCount(), i + MAX_PARTS_PER_TRANSACTION);
      Transaction.Builder resultsOnly = Transaction.builder();
      deleteResults(resultsOnly, job, i, end);
      store.write(resultsOnly.build());
    }
    store.write(builder.build()).thenAccept(outcome -> LOG.write(Event.JOB_REMOVED, job, outcome));
  }

  private static void deleteResults(Transaction.Builder builder, JobId job, int from, int until) {
    for (int i = from; i < until; i++) {
      builder.delete(StoreKeys.resultsKey(job, i));
    }
  }
}

package org.waxwingcourse.fleet.job;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.waxwingcourse.fleet.view.KeyNames;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.wire.fleet.JobRecord;

/** Removes jobs that nobody may ask for any more. Runs on the coordinator. */
public final class JobSweep {
  private static final EventLog LOG = EventLog.of(JobSweep.class);

  /** Kept beyond the retention, against clocks that differ. */
  private static final Duration MARGIN = Duration.ofSeconds(30);

  /** Parts of items and results that fit into one transaction beside the record and its runner. */
  private static final int MAX_PARTS = 28;

  /** Jobs removed in one run; bounds the calls that a backlog costs. */
  private static final int MAX_REMOVED = 20;

  private final Store store;
  private final InstantSource wall;
  private final Duration retention;

  /** Creates a sweep of jobs that were handed in longer than {@code retention} ago. */
  public JobSweep(Store store, InstantSource wall, Duration retention) {
    this.store = store;
    this.wall = wall;
    this.retention = retention.plus(MARGIN);
  }

  /** Looks once through all jobs. */
  public void run() {
    store.read(KeyRange.ofPrefix(KeyNames.JOBS_PREFIX)).thenAccept(this::onJobs);
  }

  private void onJobs(Either<StoreFailure, Snapshot> answer) {
    if (answer.isLeft()) {
      return;
    }
    Instant now = wall.instant();
    answer.get().entries().stream()
        .filter(e -> isPast(e, now))
        .limit(MAX_REMOVED)
        .forEach(this::remove);
  }

  private boolean isPast(Entry entry, Instant now) {
    return JobStore.parse(entry).exists(s -> isPast(s.record(), now));
  }

  private boolean isPast(JobRecord record, Instant now) {
    Instant accepted = Instant.ofEpochMilli(record.getAcceptedMillis());
    boolean finished =
        record.getClosed()
            || record.getListedCount() == record.getItemTokensCount()
            || now.toEpochMilli() > record.getGiveUpMillis();
    return finished && now.isAfter(accepted.plus(retention));
  }

  private void remove(Entry entry) {
    JobId job = JobId.of(entry.key().substring(KeyNames.JOBS_PREFIX.length()));
    JobRecord record = JobStore.parse(entry).get().record();
    Transaction.Builder builder =
        Transaction.builder()
            .unchanged(entry.key(), entry.modified())
            .delete(entry.key())
            .delete(KeyNames.runnerKey(job));
    for (int i = 0; i < record.getItemParts(); i++) {
      builder.delete(KeyNames.itemsKey(job, i));
    }
    int withRecord = Math.min(record.getResultPartsCount(), MAX_PARTS - record.getItemParts());
    deleteResults(builder, job, 0, withRecord);
    for (int i = withRecord; i < record.getResultPartsCount(); i += MAX_PARTS) {
      int end = Math.min(record.getResultPartsCount(), i + MAX_PARTS);
      Transaction.Builder rest = Transaction.builder();
      deleteResults(rest, job, i, end);
      store.write(rest.build());
    }
    store.write(builder.build()).thenAccept(o -> LOG.write(Event.JOB_REMOVED, job, o));
  }

  private static void deleteResults(Transaction.Builder builder, JobId job, int from, int until) {
    for (int i = from; i < until; i++) {
      builder.delete(KeyNames.resultsKey(job, i));
    }
  }
}

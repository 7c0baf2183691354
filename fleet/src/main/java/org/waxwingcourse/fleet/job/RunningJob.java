package org.waxwingcourse.fleet.job;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.view.KeyNames;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;
import org.waxwingcourse.wire.fleet.JobResults;

/**
 * A job that this host runs. Results are shown only once they stand in the store; each commit is a
 * compare-and-swap on the job's record, so that a runner that has been replaced, or whose job has
 * been ended, can list nothing more.
 *
 * <p>All state is guarded by this object's lock.
 */
final class RunningJob {
  private static final EventLog LOG = EventLog.of(RunningJob.class);

  /** How long a finished item waits for others to share its commit with. */
  private static final Duration COMMIT_DELAY = Duration.ofMillis(150);

  /** Pause before a commit that the store did not take is tried again. */
  private static final Duration COMMIT_RETRY = Duration.ofMillis(400);

  /** Largest text of results in one value, characters; below the store's largest value. */
  private static final int MAX_PART_CHARS = 500_000;

  private final JobId id;
  private final JobRunner.Ports ports;
  private final Runnable onOver;
  private final List<JobItem> items;
  private final List<ItemRun> runs = new ArrayList<>();
  private final List<JobResult> listed = new ArrayList<>();
  private final List<JobResult> fresh = new ArrayList<>();
  private final List<Integer> freshIndexes = new ArrayList<>();
  private final List<CompletableFuture<Void>> readers = new ArrayList<>();
  private final Deadline due;
  private final Deadline giveUpAt;
  private JobStore.Stored stored;
  private long term;
  private boolean committing;
  private boolean scheduled;
  private boolean over;

  RunningJob(
      JobId id,
      JobStore.Stored stored,
      List<JobItem> items,
      List<JobResult> results,
      long term,
      JobRunner.Ports ports,
      Runnable onOver) {
    this.id = id;
    this.stored = stored;
    this.term = term;
    this.items = items;
    this.ports = ports;
    this.onOver = onOver;
    listed.addAll(results);
    due = deadline(stored.record().getDueMillis());
    giveUpAt = deadline(stored.record().getGiveUpMillis());
  }

  private Deadline deadline(long wallMillis) {
    long left = wallMillis - ports.wall().instant().toEpochMilli();
    return Deadline.at(ports.clock().instant().plusMillis(left));
  }

  void begin() {
    synchronized (this) {
      Set<Integer> had = new HashSet<>(stored.record().getListedList());
      for (int i = 0; i < items.size(); i++) {
        if (!had.contains(i)) {
          runs.add(new ItemRun(i, items.get(i), this, ports, this::onResult));
        }
      }
      if (runs.isEmpty()) {
        finish("all results stand");
      }
    }
    runs.forEach(ItemRun::begin);
  }

  JobId id() {
    return id;
  }

  /** Tells whether no other host can have taken the job: it is held under the present term. */
  synchronized boolean isHeld() {
    return ports.registration().isLeaseValid() && term == ports.registration().term();
  }

  /** Finds out from the record whether the job is still this host's, under a new term. */
  void confirm() {
    long current = ports.registration().term();
    ports.store().record(id).thenAccept(answer -> onConfirmed(current, answer));
  }

  private void onConfirmed(long current, Either<StoreFailure, Option<JobStore.Stored>> answer) {
    if (answer.isLeft()) {
      ports.timer().schedule(this::confirm, COMMIT_RETRY.toNanos(), TimeUnit.NANOSECONDS);
    } else if (answer.get().exists(s -> ports.self().runs(s.record()) && !s.record().getClosed())) {
      synchronized (this) {
        term = current;
      }
    } else {
      stop("the job was taken or ended while this host's entry had lapsed");
    }
  }

  Deadline due() {
    return due;
  }

  Deadline giveUpAt() {
    return giveUpAt;
  }

  synchronized int maxAttempts() {
    return Math.max(1, stored.record().getMaxAttempts());
  }

  synchronized OrganisationId organisation() {
    return OrganisationId.of(stored.record().getOrganisation());
  }

  synchronized String host() {
    return stored.record().getHostHeader();
  }

  /** Returns the job's route as it is now; none if it has been removed. */
  Option<Route> route() {
    String name;
    synchronized (this) {
      name = stored.record().getRoute();
    }
    return ports
        .storeView()
        .plan()
        .flatMap(
            p ->
                Option.ofOptional(
                    p.routes().all().stream()
                        .filter(r -> r.name().equals(name) && r.kind() == RequestKind.JOB)
                        .findFirst()));
  }

  /** Returns the results from a position on. */
  synchronized JobAnswer.Page page(int after) {
    int from = Math.min(after, listed.size());
    return new JobAnswer.Page(
        stored.record().getItemTokensCount(),
        after,
        List.copyOf(listed.subList(from, listed.size())));
  }

  /** Completes once there are results after a position, or none will come from here. */
  synchronized CompletableFuture<Void> resultsAfter(int after) {
    CompletableFuture<Void> waiting = new CompletableFuture<>();
    if (listed.size() > after || over) {
      waiting.complete(null);
    } else {
      readers.add(waiting);
    }
    return waiting;
  }

  List<JobItem> items() {
    return items;
  }

  /** Stops all items; what has not been committed is lost and run again by whoever goes on. */
  void stop(String why) {
    List<CompletableFuture<Void>> waiting;
    synchronized (this) {
      if (over) {
        return;
      }
      finish(why);
      waiting = List.copyOf(readers);
      readers.clear();
    }
    runs.forEach(ItemRun::stop);
    waiting.forEach(r -> r.complete(null));
  }

  /** Returns the number of items. */
  int total() {
    return items.size();
  }

  private void finish(String why) {
    over = true;
    if (listed.size() == items.size()) {
      ports.onFinished().accept(this);
    }
    LOG.write(Event.JOB_LEFT, id, why, listed.size(), stored.record().getItemTokensCount());
    ports.timer().execute(onOver);
  }

  private synchronized void onResult(ItemRun item, boolean completed, String text) {
    if (over) {
      return;
    }
    freshIndexes.add(item.index());
    fresh.add(
        JobResult.newBuilder()
            .setItem(item.item().getId())
            .setCompleted(completed)
            .setText(text)
            .build());
    if (!committing && !scheduled) {
      boolean last = listed.size() + fresh.size() == items.size();
      schedule(last ? Duration.ZERO : COMMIT_DELAY);
    }
  }

  private void schedule(Duration delay) {
    scheduled = true;
    ports.timer().schedule(this::commit, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void commit() {
    List<JobResult> part;
    List<Integer> indexes;
    JobRecord next;
    Transaction transaction;
    synchronized (this) {
      scheduled = false;
      if (over || committing || fresh.isEmpty()) {
        return;
      }
      committing = true;
      int size = partSize();
      part = List.copyOf(fresh.subList(0, size));
      indexes = List.copyOf(freshIndexes.subList(0, size));
      JobRecord before = stored.record();
      next = before.toBuilder().addAllListed(indexes).addResultParts(size).build();
      Transaction.Builder builder =
          Transaction.builder()
              .unchanged(KeyNames.jobKey(id), stored.revision())
              .put(KeyNames.jobKey(id), next.toByteArray())
              .put(
                  KeyNames.resultsKey(id, before.getResultPartsCount()),
                  JobResults.newBuilder().addAllResults(part).build().toByteArray());
      if (next.getListedCount() == items.size()) {
        builder.delete(KeyNames.runnerKey(id));
      }
      transaction = builder.build();
    }
    ports.store().write(transaction).thenAccept(o -> onCommitted(o, next, part));
  }

  private int partSize() {
    int chars = 0;
    int size = 0;
    while (size < fresh.size() && (size == 0 || chars < MAX_PART_CHARS)) {
      chars += fresh.get(size).getText().length();
      size++;
    }
    return size;
  }

  private void onCommitted(WriteOutcome outcome, JobRecord next, List<JobResult> part) {
    if (outcome instanceof WriteOutcome.Done done) {
      committed(new JobStore.Stored(next, done.revision()), part);
    } else if (outcome instanceof WriteOutcome.NotSent notSent) {
      retry(notSent.failure().message());
    } else {
      ports
          .store()
          .record(id)
          .thenAccept(answer -> reconcile(outcome.toString(), answer, next, part));
    }
  }

  /** Finds out from the record whether a commit stands whose outcome is not known or lost. */
  private void reconcile(
      String outcome,
      Either<StoreFailure, Option<JobStore.Stored>> answer,
      JobRecord next,
      List<JobResult> part) {
    if (answer.isLeft()) {
      retry(outcome + "; " + answer.getLeft().message());
      return;
    }
    if (answer.get().isEmpty()) {
      stop("the job is gone");
      return;
    }
    JobStore.Stored found = answer.get().get();
    if (found.record().equals(next)) {
      committed(found, part);
    } else if (found.record().getClosed()) {
      stop("the job was ended");
    } else if (!ports.self().runs(found.record())) {
      stop("host " + found.record().getRunner() + " runs the job now");
    } else {
      synchronized (this) {
        stored = found;
      }
      retry(outcome);
    }
  }

  private void committed(JobStore.Stored found, List<JobResult> part) {
    List<CompletableFuture<Void>> waiting;
    synchronized (this) {
      stored = found;
      committing = false;
      listed.addAll(part);
      fresh.subList(0, part.size()).clear();
      freshIndexes.subList(0, part.size()).clear();
      waiting = List.copyOf(readers);
      readers.clear();
      if (listed.size() == items.size() && !over) {
        finish("all results stand");
      } else if (!fresh.isEmpty()) {
        schedule(COMMIT_DELAY);
      }
    }
    waiting.forEach(r -> r.complete(null));
  }

  private synchronized void retry(String why) {
    LOG.write(Event.JOB_COMMIT_WAITS, id, why, fresh.size());
    committing = false;
    if (!over && !scheduled) {
      schedule(COMMIT_RETRY);
    }
  }
}

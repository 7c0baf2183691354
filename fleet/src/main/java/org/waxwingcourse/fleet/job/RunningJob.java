package org.waxwingcourse.fleet.job;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.view.StoreKeys;
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
 * A job that this host runs. Results become visible only once they are in the store. Each commit is
 * a compare-and-swap on the job's record, so that a runner that has been replaced, or whose job has
 * been closed, can add no more results.
 *
 * <p>All state is guarded by this object's lock.
 */
final class RunningJob {
  private static final EventLog LOG = EventLog.of(RunningJob.class);

  /** Time that a finished item waits for other items to share its commit. */
  private static final Duration COMMIT_DELAY = Duration.ofMillis(150);

  /**
   * Delay before a commit that the store refused is tried again. It doubles while the store rejects
   * one result after the other, since what it rejects once it mostly rejects for good.
   */
  private static final Duration COMMIT_RETRY_DELAY = Duration.ofMillis(400);

  /** Maximum number of times that the delay is doubled. */
  private static final int MAX_DOUBLINGS = 4;

  private final JobId id;
  private final JobRunner.Ports ports;
  private final Runnable endListener;
  private final List<JobItem> items;
  private final List<ItemRun> runs = new ArrayList<>();
  private final ResultLog results;
  private final OpenJobCheck openCheck;
  private final List<CompletableFuture<Void>> waitingReaders = new ArrayList<>();
  private final Deadline due;
  private final Deadline giveUpAt;
  private JobStore.StoredRecord stored;
  private long term;
  private boolean commitInProgress;
  private boolean commitScheduled;
  private boolean ended;

  /**
   * Creates a job that is not started.
   *
   * @param stored the record, which shows the job open
   * @param askedAt when the call to the store that returned or wrote the record was sent
   */
  RunningJob(
      JobId id,
      JobStore.StoredRecord stored,
      List<JobItem> items,
      List<JobResult> storedResults,
      AskedAt askedAt,
      JobRunner.Ports ports,
      Runnable endListener) {
    this.id = id;
    this.stored = stored;
    this.term = askedAt.term();
    this.items = items;
    this.ports = ports;
    this.endListener = endListener;
    results =
        new ResultLog(items.size(), stored.record(), storedResults, ports.store().maxValueBytes());
    openCheck = new OpenJobCheck(askedAt.instant());
    due = deadline(stored.record().getDueMillis());
    giveUpAt = deadline(stored.record().getGiveUpMillis());
  }

  private Deadline deadline(long wallMillis) {
    long left = wallMillis - ports.wall().instant().toEpochMilli();
    return Deadline.at(ports.clock().instant().plusMillis(left));
  }

  /** Starts all items that have no result, unless the job was stopped before. */
  void start() {
    synchronized (this) {
      if (ended) {
        return;
      }
      Set<Integer> listedIndexes = new HashSet<>(stored.record().getListedList());
      for (int i = 0; i < items.size(); i++) {
        if (!listedIndexes.contains(i)) {
          runs.add(new ItemRun(i, items.get(i), this, ports, this::onResult));
        }
      }
      if (runs.isEmpty()) {
        endJob("all results are stored");
      }
    }
    runs.forEach(ItemRun::requestSlot);
  }

  JobId id() {
    return id;
  }

  /**
   * Returns whether no other host can have taken over the job: it is held in the present
   * registration term.
   */
  synchronized boolean isHeld() {
    return ports.registration().isLeaseValid() && term == ports.registration().term();
  }

  /**
   * Reads the record to find out whether this host still runs the job in a new registration term.
   */
  void confirmOwnership() {
    long current = ports.registration().term();
    readRecord().thenAccept(answer -> onConfirmed(current, answer));
  }

  /** Reads the job's record; a read that ends with an exception counts as one that failed. */
  private CompletableFuture<Either<StoreFailure, Option<JobStore.StoredRecord>>> readRecord() {
    return ports.store().readRecord(id).exceptionally(e -> Either.left(unreadable(e)));
  }

  private void onConfirmed(
      long current, Either<StoreFailure, Option<JobStore.StoredRecord>> answer) {
    if (answer.isLeft()) {
      ports
          .timer()
          .schedule(this::confirmOwnership, COMMIT_RETRY_DELAY.toNanos(), TimeUnit.NANOSECONDS);
    } else if (reasonToLeave(answer.get()).isEmpty()) {
      synchronized (this) {
        term = current;
      }
    } else {
      stop("the job was taken over or closed while this host's entry had expired");
    }
  }

  /**
   * Runs an action once the job is known to have been open a short while ago, or to be unknown to a
   * store that does not answer. If the job is found closed, it stops before the action is run.
   */
  void whenOpen(Runnable action) {
    Instant now = ports.clock().instant();
    switch (openCheck.onAction(action, now)) {
      case RUN -> action.run();
      case READ -> readRecord().thenAccept(answer -> onOpenRead(now, answer));
      case WAIT -> {
        // The read in progress runs the action.
      }
      default -> throw new IllegalStateException("unknown step");
    }
  }

  private static StoreFailure unreadable(Throwable error) {
    return new StoreFailure(StoreFailure.Kind.MALFORMED, error.toString());
  }

  private void onOpenRead(
      Instant sentAt, Either<StoreFailure, Option<JobStore.StoredRecord>> answer) {
    if (answer.isLeft()) {
      LOG.write(Event.JOB_OPEN_UNKNOWN, id, answer.getLeft().message());
    } else {
      reasonToLeave(answer.get()).forEach(this::stop);
    }
    openCheck.onRead(sentAt).forEach(Runnable::run);
  }

  /** Returns why this host may no longer run the job, none if its record shows that it may. */
  private Option<String> reasonToLeave(Option<JobStore.StoredRecord> current) {
    if (current.isEmpty()) {
      return Option.some("the job record was removed");
    }
    JobRecord record = current.get().record();
    if (record.getClosed()) {
      return Option.some("its record shows that the job was closed");
    }
    return Option.when(
        !ports.self().isRunnerOf(record), () -> "host " + record.getRunner() + " now runs the job");
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

  synchronized String hostHeader() {
    return stored.record().getHostHeader();
  }

  /** Returns the job's route in a configuration, none if that does not contain it. */
  Option<Route> route(Plan plan) {
    String name;
    synchronized (this) {
      name = stored.record().getRoute();
    }
    return plan.routes().findJobRoute(name);
  }

  /** Returns the results from a position on. */
  synchronized JobAnswer.Page page(int after) {
    return new JobAnswer.Page(stored.record().getItemTokensCount(), after, results.after(after));
  }

  /**
   * Returns a future that completes once there are results after a position, or once no more
   * results will come from here.
   */
  synchronized CompletableFuture<Void> whenResultsAfter(int after) {
    CompletableFuture<Void> waiting = new CompletableFuture<>();
    if (results.committedCount() > after || ended) {
      waiting.complete(null);
    } else {
      waitingReaders.add(waiting);
    }
    return waiting;
  }

  List<JobItem> items() {
    return items;
  }

  /**
   * Stops all items. Results that have not been committed are lost; the next runner runs their
   * items again.
   */
  void stop(String reason) {
    List<CompletableFuture<Void>> waiting;
    synchronized (this) {
      if (ended) {
        return;
      }
      endJob(reason);
      waiting = List.copyOf(waitingReaders);
      waitingReaders.clear();
    }
    int onEngines = 0;
    for (ItemRun run : runs) {
      onEngines += run.stop() ? 1 : 0;
    }
    LOG.write(Event.JOB_ITEMS_STOPPED, id, onEngines, runs.size());
    waiting.forEach(r -> r.complete(null));
  }

  /** Calls {@code action} with each item whose result is not known to be in the store. */
  void forEachUnlisted(Consumer<ItemRun> action) {
    Set<Integer> pending;
    synchronized (this) {
      if (ended || runs.isEmpty()) {
        return;
      }
      pending = results.pendingIndexes();
    }
    for (ItemRun run : runs) {
      if (!run.waitState().reason().contains(WaitReason.RESULT_NOT_STORED)
          || pending.contains(run.index())) {
        action.accept(run);
      }
    }
  }

  /** Returns the number of items. */
  int itemCount() {
    return items.size();
  }

  private void endJob(String reason) {
    ended = true;
    if (results.isComplete()) {
      ports.onFinished().accept(this);
    }
    LOG.write(
        Event.JOB_LEFT, id, reason, results.committedCount(), stored.record().getItemTokensCount());
    ports.timer().execute(endListener);
  }

  private synchronized void onResult(ItemRun item, boolean completed, String text) {
    if (ended) {
      return;
    }
    results.add(item.index(), storable(newResult(item, completed, text)));
    if (!commitInProgress && !commitScheduled) {
      scheduleCommit(results.isLastKnown() ? Duration.ZERO : COMMIT_DELAY);
    }
  }

  private static JobResult newResult(ItemRun item, boolean completed, String text) {
    return JobResult.newBuilder()
        .setItem(item.item().getId())
        .setCompleted(completed)
        .setText(text)
        .build();
  }

  /** Returns the result, or that the item has failed if the store takes no value of its size. */
  private JobResult storable(JobResult result) {
    if (results.fitsIntoValue(result)) {
      return result;
    }
    LOG.write(
        Event.JOB_RESULT_TOO_LARGE,
        result.getItem(),
        id,
        result.getSerializedSize(),
        ports.store().maxValueBytes());
    return result.toBuilder().setCompleted(false).clearText().build();
  }

  private void scheduleCommit(Duration delay) {
    commitScheduled = true;
    ports.timer().schedule(this::commit, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void commit() {
    ResultLog.Part part;
    JobRecord next;
    Transaction transaction;
    synchronized (this) {
      commitScheduled = false;
      if (ended || commitInProgress || results.pendingCount() == 0) {
        return;
      }
      commitInProgress = true;
      part = results.nextPart();
      JobRecord before = stored.record();
      next =
          before.toBuilder()
              .addAllListed(part.indexes())
              .addResultParts(part.results().size())
              .build();
      Transaction.Builder builder =
          Transaction.builder()
              .requireUnmodified(StoreKeys.jobKey(id), stored.revision())
              .put(StoreKeys.jobKey(id), next.toByteArray())
              .put(
                  StoreKeys.resultsKey(id, before.getResultPartsCount()),
                  JobResults.newBuilder().addAllResults(part.results()).build().toByteArray());
      if (ResultLog.isComplete(next)) {
        builder.delete(StoreKeys.runnerKey(id));
      }
      transaction = builder.build();
    }
    Instant sentAt = ports.clock().instant();
    retryOnError(
        ports
            .store()
            .write(transaction)
            .thenAccept(outcome -> onCommitted(outcome, next, part, sentAt)));
  }

  private void onCommitted(
      WriteOutcome outcome, JobRecord next, ResultLog.Part part, Instant sentAt) {
    if (outcome instanceof WriteOutcome.Done done) {
      openCheck.confirmOpen(sentAt);
      synchronized (this) {
        stored = new JobStore.StoredRecord(next, done.revision());
        results.confirm(part);
      }
      onCommitResolved();
    } else if (outcome instanceof WriteOutcome.NotSent notSent) {
      if (notSent.failure().kind() == StoreFailure.Kind.REFUSED) {
        recordRejected(part);
      }
      scheduleCommitRetry(notSent.failure().message());
    } else {
      retryOnError(
          ports
              .store()
              .readRecord(id)
              .thenAccept(answer -> resolveCommit(outcome.toString(), answer)));
    }
  }

  /**
   * Finds out from the record what the store has executed: the commit whose outcome is unknown or a
   * conflict, an earlier one whose outcome was unknown, or neither yet.
   */
  private void resolveCommit(
      String outcome, Either<StoreFailure, Option<JobStore.StoredRecord>> answer) {
    if (answer.isLeft()) {
      scheduleCommitRetry(outcome + "; " + answer.getLeft().message());
      return;
    }
    Option<String> reason = reasonToLeave(answer.get());
    if (reason.isDefined()) {
      stop(reason.get());
      return;
    }
    JobStore.StoredRecord current = answer.get().get();
    if (isBehind(current.record())) {
      retryOnError(
          ports
              .store()
              .readResults(id)
              .thenAccept(storedResults -> adoptResults(outcome, current, storedResults)));
    } else {
      synchronized (this) {
        stored = current;
      }
      scheduleCommitRetry(outcome);
    }
  }

  private synchronized void recordRejected(ResultLog.Part part) {
    results.recordRejected(part);
  }

  private synchronized boolean isBehind(JobRecord record) {
    return results.isBehind(record);
  }

  private void adoptResults(
      String outcome,
      JobStore.StoredRecord current,
      Either<StoreFailure, List<JobResult>> storedResults) {
    if (storedResults.isLeft()) {
      scheduleCommitRetry(outcome + "; " + storedResults.getLeft().message());
      return;
    }
    synchronized (this) {
      stored = current;
      results.adopt(current.record(), storedResults.get());
      LOG.write(Event.JOB_COMMIT_FOUND, id, outcome, results.committedCount());
    }
    onCommitResolved();
  }

  private void onCommitResolved() {
    List<CompletableFuture<Void>> waiting;
    boolean complete;
    synchronized (this) {
      commitInProgress = false;
      waiting = List.copyOf(waitingReaders);
      waitingReaders.clear();
      complete = results.isComplete();
      if (complete && !ended) {
        endJob("all results are stored");
      } else if (results.pendingCount() > 0) {
        scheduleCommit(COMMIT_DELAY);
      }
    }
    if (complete) {
      runs.forEach(ItemRun::stop);
    }
    waiting.forEach(r -> r.complete(null));
  }

  private void retryOnError(CompletableFuture<Void> step) {
    step.exceptionally(
        e -> {
          scheduleCommitRetry(e.toString());
          return null;
        });
  }

  private synchronized void scheduleCommitRetry(String reason) {
    LOG.write(Event.JOB_COMMIT_WAITS, id, reason, results.pendingCount());
    commitInProgress = false;
    if (!ended && !commitScheduled) {
      int doublings = Math.min(results.rejectedAlone(), MAX_DOUBLINGS);
      scheduleCommit(COMMIT_RETRY_DELAY.multipliedBy(1L << doublings));
    }
  }
}

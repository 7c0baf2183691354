package org.waxwingcourse.fleet.job;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.fleet.slot.BatchRunTimes;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.wire.fleet.ItemHeader;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;

/** Runs the jobs of this host. */
final class JobRunner {
  private static final EventLog LOG = EventLog.of(JobRunner.class);

  /** Interval between lookups of a write whose answer was lost. */
  private static final Duration LOOKUP_INTERVAL = Duration.ofSeconds(1);

  private static final int MAX_LOOKUPS = 8;

  private final Ports ports;
  private final Map<JobId, RunningJob> running = new ConcurrentHashMap<>();
  private final Set<JobId> takeOversInProgress = ConcurrentHashMap.newKeySet();
  private volatile boolean stopped;

  /**
   * The dependencies of running jobs.
   *
   * @param self this process
   * @param registration provides the registration term under which this host holds its jobs
   * @param store the entries of jobs
   * @param clock the steady clock
   * @param wall the wall clock, by which jobs are due
   * @param timer runs scheduled tasks, which do not block
   * @param random source for the choice between a route's services
   * @param storeView the content of the store as this host knows it
   * @param engines the engines listed in the store
   * @param calls sends requests to engines
   * @param slots requests slots
   * @param times estimates how long items run
   * @param onStarted called with each job that starts to run here
   * @param onFinished called with each job whose results are all stored
   * @param promptParts extracts the ids of shared prompt parts from an item's headers
   */
  record Ports(
      RunnerName self,
      HostEntryRegistration registration,
      JobStore store,
      InstantSource clock,
      InstantSource wall,
      ScheduledExecutorService timer,
      RandomGenerator random,
      StoreView storeView,
      EngineDirectory engines,
      EngineSender calls,
      SlotClient slots,
      BatchRunTimes times,
      Consumer<RunningJob> onStarted,
      Consumer<RunningJob> onFinished,
      Function<List<ItemHeader>, List<Long>> promptParts) {}

  JobRunner(Ports ports) {
    this.ports = ports;
  }

  Option<RunningJob> findJob(JobId job) {
    return Option.of(running.get(job));
  }

  int countRunning() {
    return running.size();
  }

  /** Returns the registration term under which a job that is written now is held. */
  long term() {
    return ports.registration().term();
  }

  /** Starts a job that was accepted on this host and written in registration term {@code term}. */
  void startAccepted(JobId id, JobStore.StoredRecord stored, List<JobItem> items, long term) {
    startJob(id, stored, items, List.of(), term);
  }

  private void startJob(
      JobId id,
      JobStore.StoredRecord stored,
      List<JobItem> items,
      List<JobResult> results,
      long term) {
    if (stopped) {
      return;
    }
    RunningJob job =
        new RunningJob(id, stored, items, results, term, ports, () -> running.remove(id));
    if (running.putIfAbsent(id, job) == null) {
      ports.onStarted().accept(job);
      job.start();
    }
  }

  /**
   * Takes over a job whose runner is gone, unless the job is finished, closed or already run here.
   * The claim succeeds only while the runner's entry is missing from the store; a runner whose
   * entry had expired confirms its jobs before it answers for them again.
   */
  void takeOver(JobId id) {
    if (stopped || running.containsKey(id) || !takeOversInProgress.add(id)) {
      return;
    }
    ports.store().readRecord(id).thenAccept(answer -> onRecord(id, answer));
  }

  private void onRecord(JobId id, Either<StoreFailure, Option<JobStore.StoredRecord>> answer) {
    if (answer.isLeft() || answer.get().isEmpty()) {
      takeOversInProgress.remove(id);
      return;
    }
    JobStore.StoredRecord storedRecord = answer.get().get();
    JobRecord record = storedRecord.record();
    if (record.getClosed() || record.getListedCount() == record.getItemTokensCount()) {
      takeOversInProgress.remove(id);
      ports.store().write(Transaction.builder().delete(StoreKeys.runnerKey(id)).build());
      return;
    }
    long term = term();
    if (ports.self().isRunnerOf(record)) {
      resumeJob(id, storedRecord, term);
      return;
    }
    JobRecord claimedRecord =
        record.toBuilder()
            .setRunner(ports.self().host().value())
            .setRunnerBoot(ports.self().boot())
            .build();
    String runnerEntryKey =
        StoreKeys.hostKey(HostId.of(record.getRunner()), record.getRunnerBoot());
    Transaction claim =
        Transaction.builder()
            .requireUnmodified(StoreKeys.jobKey(id), storedRecord.revision())
            .requireAbsent(runnerEntryKey)
            .put(StoreKeys.jobKey(id), claimedRecord.toByteArray())
            .put(StoreKeys.runnerKey(id), ports.self().encode())
            .build();
    ports.store().write(claim).thenAccept(outcome -> onClaimed(id, claimedRecord, term, outcome));
  }

  private void onClaimed(JobId id, JobRecord claimedRecord, long term, WriteOutcome outcome) {
    if (outcome instanceof WriteOutcome.Unknown unknown) {
      LOG.write(Event.JOB_CLAIM_UNKNOWN, id, unknown.message());
      takeOversInProgress.remove(id);
      lookForLostWrite(id, ports.self()::isRunnerOf);
      return;
    }
    if (!(outcome instanceof WriteOutcome.Done done)) {
      takeOversInProgress.remove(id);
      return;
    }
    LOG.write(
        Event.JOB_TAKEN, id, claimedRecord.getListedCount(), claimedRecord.getItemTokensCount());
    resumeJob(id, new JobStore.StoredRecord(claimedRecord, done.revision()), term);
  }

  /**
   * Looks for a write whose answer was lost, since the store may apply it seconds later, and takes
   * the job over once its record shows the write.
   */
  void lookForLostWrite(JobId id, Predicate<JobRecord> isWritten) {
    scheduleLookup(id, isWritten, MAX_LOOKUPS);
  }

  private void scheduleLookup(JobId id, Predicate<JobRecord> isWritten, int remainingLookups) {
    if (remainingLookups > 0 && !stopped) {
      ports
          .timer()
          .schedule(
              () -> lookUp(id, isWritten, remainingLookups),
              LOOKUP_INTERVAL.toMillis(),
              TimeUnit.MILLISECONDS);
    }
  }

  private void lookUp(JobId id, Predicate<JobRecord> isWritten, int remainingLookups) {
    if (running.containsKey(id)) {
      return;
    }
    ports
        .store()
        .readRecord(id)
        .thenAccept(
            answer -> {
              if (answer.isRight() && answer.get().exists(s -> isWritten.test(s.record()))) {
                takeOver(id);
              } else {
                scheduleLookup(id, isWritten, remainingLookups - 1);
              }
            });
  }

  private void resumeJob(JobId id, JobStore.StoredRecord stored, long term) {
    ports
        .store()
        .readItems(id)
        .thenCombine(
            ports.store().readResults(id),
            (items, results) -> {
              takeOversInProgress.remove(id);
              if (items.isRight() && results.isRight()) {
                startJob(id, stored, items.get(), results.get(), term);
              } else {
                LOG.write(Event.JOB_UNREADABLE, id);
                ports.timer().schedule(() -> takeOver(id), 1, TimeUnit.SECONDS);
              }
              return null;
            });
  }

  /** Confirms each job from its record, or stops it, after this host's entry had expired. */
  void confirmAll() {
    running.values().forEach(RunningJob::confirmOwnership);
  }

  /** Stops a job that was closed in the store. */
  void stopClosed(JobId id) {
    findJob(id).forEach(job -> job.stop("the job was closed"));
  }

  /** Stops all jobs. Their records name this host as runner until another host takes them over. */
  void stop() {
    stopped = true;
    running.values().forEach(job -> job.stop("this node is shutting down"));
  }
}

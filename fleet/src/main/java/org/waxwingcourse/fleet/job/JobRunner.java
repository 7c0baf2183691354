package org.waxwingcourse.fleet.job;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.waxwingcourse.fleet.coordinate.SlotSource;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.slot.BatchRunTimes;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;
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

  /** Interval between reads of a record until it is certain who runs the job. */
  private static final Duration LOOKUP_INTERVAL = Duration.ofSeconds(1);

  /**
   * How long a closed job is not started; longer than a record that was read before is in use, and
   * much shorter than jobs are kept, after which their ids may be used again.
   */
  private static final Duration CLOSED_RETENTION = Duration.ofSeconds(20);

  private static final String UNANSWERED_WRITE = "an unanswered write may still be executed";

  private final Ports ports;
  private final Map<JobId, RunningJob> running = new ConcurrentHashMap<>();
  private final Map<JobId, TakeOver> takeOvers = new ConcurrentHashMap<>();
  private final Map<JobId, Deadline> closedUntil = new ConcurrentHashMap<>();
  private final ItemWaits waits;
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
   * @param sizes reads the size of an item from its headers
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
      SlotSource slots,
      BatchRunTimes times,
      Consumer<RunningJob> onStarted,
      Consumer<RunningJob> onFinished,
      Function<List<ItemHeader>, List<Long>> promptParts,
      Function<List<ItemHeader>, RequestSize> sizes) {}

  JobRunner(Ports ports) {
    this.ports = ports;
    waits = new ItemWaits(ports.clock());
  }

  Option<RunningJob> findJob(JobId job) {
    return Option.of(running.get(job));
  }

  int countRunning() {
    return running.size();
  }

  /** Returns the counts and reports of items that wait. */
  ItemWaits waits() {
    return waits;
  }

  /** Counts the items that have no run, and logs those that have waited for long. Returns these. */
  List<ItemWaits.DueItem> checkWaits() {
    return waits.check(running.values());
  }

  /** Returns the present moment, for a call to the store that is sent now. */
  AskedAt now() {
    return new AskedAt(ports.clock().instant(), ports.registration().term());
  }

  /** Starts a job that was accepted on this host by a write sent at {@code askedAt}. */
  void startAccepted(JobId id, JobStore.StoredRecord stored, List<JobItem> items, AskedAt askedAt) {
    startJob(id, stored, items, List.of(), askedAt);
  }

  private void startJob(
      JobId id,
      JobStore.StoredRecord stored,
      List<JobItem> items,
      List<JobResult> results,
      AskedAt askedAt) {
    if (stopped || isRecentlyClosed(id)) {
      return;
    }
    RunningJob job =
        new RunningJob(id, stored, items, results, askedAt, ports, () -> running.remove(id));
    if (running.putIfAbsent(id, job) == null) {
      ports.onStarted().accept(job);
      job.start();
      if (askedAt.term() != ports.registration().term()) {
        job.confirmOwnership();
      }
      if (isRecentlyClosed(id)) {
        job.stop("the job was closed");
      }
    }
  }

  /**
   * Takes over a job whose runner is gone, unless the job is finished, closed or already run here.
   * The claim succeeds only while the runner's entry is missing from the store; a runner whose
   * entry had expired confirms its jobs before it answers for them again.
   */
  void takeOver(JobId id) {
    begin(id, TakeOver::assign).forEach(t -> readRecord(id, t));
  }

  /** Runs a job whose record this host has found in the store after an unanswered write of it. */
  void resumeAccepted(JobId id) {
    beginAfterLostAnswer(id).forEach(t -> readRecord(id, t));
  }

  /**
   * Looks for a job that this host has accepted by a write that the store did not answer and may
   * execute seconds later, and runs the job once its record shows the write.
   */
  void lookForLostWrite(JobId id) {
    beginAfterLostAnswer(id).forEach(t -> readLater(id, t, UNANSWERED_WRITE));
  }

  private Option<TakeOver> beginAfterLostAnswer(JobId id) {
    Instant now = ports.clock().instant();
    return begin(id, takeOver -> takeOver.expectLateWrite(now));
  }

  /** Adds a reason to the take-over in progress. Returns a new one if there is none. */
  private Option<TakeOver> begin(JobId id, Predicate<TakeOver> reason) {
    if (stopped || running.containsKey(id)) {
      return Option.none();
    }
    TakeOver added = new TakeOver(ports.self());
    reason.test(added);
    TakeOver current = takeOvers.compute(id, (job, t) -> t != null && reason.test(t) ? t : added);
    return Option.when(current == added, added);
  }

  private void readRecord(JobId id, TakeOver takeOver) {
    if (stopped || running.containsKey(id)) {
      takeOvers.remove(id, takeOver);
      return;
    }
    AskedAt askedAt = now();
    goOnAfter(
        id,
        takeOver,
        ports
            .store()
            .readRecord(id)
            .thenAccept(
                answer -> {
                  TakeOver.Next next = takeOver.onRecord(answer, askedAt.instant());
                  String reason = answer.fold(StoreFailure::message, r -> UNANSWERED_WRITE);
                  goOn(id, takeOver, next, answer.getOrElse(Option.none()), askedAt, reason);
                }));
  }

  private void goOn(
      JobId id,
      TakeOver takeOver,
      TakeOver.Next next,
      Option<JobStore.StoredRecord> stored,
      AskedAt askedAt,
      String reason) {
    switch (next) {
      case CLAIM -> {
        if (mayReadItems(stored.get().record())) {
          claim(id, takeOver, stored.get(), askedAt);
        } else {
          takeOvers.remove(id, takeOver);
        }
      }
      case RESUME -> resume(id, takeOver, stored.get(), askedAt);
      case READ -> readRecord(id, takeOver);
      case READ_LATER -> readLater(id, takeOver, reason);
      case REMOVE_ENTRY -> {
        takeOvers.remove(id, takeOver);
        ports.store().write(Transaction.builder().delete(StoreKeys.runnerKey(id)).build());
      }
      case END -> takeOvers.remove(id, takeOver);
      default -> throw new IllegalStateException("unknown step " + next);
    }
  }

  /**
   * Returns whether the items of a job may be read by this host, to which its caller has not sent
   * them. Otherwise the coordinator assigns the job to the next host.
   */
  private boolean mayReadItems(JobRecord record) {
    HomeRegions homes =
        ports
            .storeView()
            .plan()
            .flatMap(
                p ->
                    p.routes()
                        .findJobRoute(record.getRoute())
                        .map(r -> p.homes(r, OrganisationId.of(record.getOrganisation()))))
            .getOrElse(HomeRegions.ANY);
    return homes.allow(
        ports.storeView().fleetHosts().findHost(ports.self().host()).map(FleetHost::region));
  }

  private void readLater(JobId id, TakeOver takeOver, String reason) {
    LOG.write(Event.JOB_TAKE_OVER_WAITS, id, reason);
    ports
        .timer()
        .schedule(
            () -> readRecord(id, takeOver), LOOKUP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Goes on with a take-over one of whose steps has failed with an exception. */
  private void goOnAfter(JobId id, TakeOver takeOver, CompletableFuture<?> step) {
    step.exceptionally(
        e -> {
          readLater(id, takeOver, e.toString());
          return null;
        });
  }

  private void claim(JobId id, TakeOver takeOver, JobStore.StoredRecord stored, AskedAt askedAt) {
    JobRecord record = stored.record();
    JobRecord claimedRecord =
        record.toBuilder()
            .setRunner(ports.self().host().value())
            .setRunnerBoot(ports.self().boot())
            .build();
    String runnerEntryKey =
        StoreKeys.hostKey(HostId.of(record.getRunner()), record.getRunnerBoot());
    Transaction claim =
        Transaction.builder()
            .requireUnmodified(StoreKeys.jobKey(id), stored.revision())
            .requireAbsent(runnerEntryKey)
            .put(StoreKeys.jobKey(id), claimedRecord.toByteArray())
            .put(StoreKeys.runnerKey(id), ports.self().encode())
            .build();
    goOnAfter(
        id,
        takeOver,
        ports
            .store()
            .write(claim)
            .thenAccept(outcome -> onClaimed(id, takeOver, claimedRecord, askedAt, outcome)));
  }

  private void onClaimed(
      JobId id, TakeOver takeOver, JobRecord claimedRecord, AskedAt askedAt, WriteOutcome outcome) {
    if (outcome instanceof WriteOutcome.Unknown unknown) {
      LOG.write(Event.JOB_CLAIM_UNKNOWN, id, unknown.message());
    }
    Option<JobStore.StoredRecord> claimed = Option.none();
    if (outcome instanceof WriteOutcome.Done done) {
      LOG.write(
          Event.JOB_TAKEN, id, claimedRecord.getListedCount(), claimedRecord.getItemTokensCount());
      claimed = Option.some(new JobStore.StoredRecord(claimedRecord, done.revision()));
    }
    TakeOver.Next next = takeOver.onClaimed(outcome, ports.clock().instant());
    goOn(
        id, takeOver, next, claimed, askedAt, "the claim was not answered as executed: " + outcome);
  }

  private void resume(JobId id, TakeOver takeOver, JobStore.StoredRecord stored, AskedAt askedAt) {
    goOnAfter(
        id,
        takeOver,
        ports
            .store()
            .readItems(id)
            .thenCombine(
                ports.store().readResults(id),
                (items, results) -> {
                  boolean isReadable =
                      items.isRight() && results.exists(r -> holdsAll(r, stored.record()));
                  if (isReadable) {
                    startJob(id, stored, items.get(), results.get(), askedAt);
                  } else {
                    LOG.write(Event.JOB_UNREADABLE, id);
                  }
                  goOn(
                      id,
                      takeOver,
                      takeOver.onContent(isReadable),
                      Option.none(),
                      askedAt,
                      "its items or results cannot be read");
                  return null;
                }));
  }

  private boolean isRecentlyClosed(JobId id) {
    return Option.of(closedUntil.get(id)).exists(d -> !d.isPast(ports.clock().instant()));
  }

  private static boolean holdsAll(List<JobResult> results, JobRecord record) {
    return results.size() >= record.getListedCount();
  }

  /** Confirms each job from its record, or stops it, after this host's entry had expired. */
  void confirmAll() {
    running.values().forEach(RunningJob::confirmOwnership);
  }

  /**
   * Stops a job that was closed in the store, also if its record was read before and it is yet to
   * start.
   */
  void stopClosed(JobId id) {
    Instant now = ports.clock().instant();
    closedUntil.values().removeIf(d -> d.isPast(now));
    closedUntil.put(id, Deadline.at(now.plus(CLOSED_RETENTION)));
    findJob(id).forEach(job -> job.stop("the job was closed"));
  }

  /** Stops all jobs. Their records name this host as runner until another host takes them over. */
  void stop() {
    stopped = true;
    running.values().forEach(job -> job.stop("this node is shutting down"));
  }
}

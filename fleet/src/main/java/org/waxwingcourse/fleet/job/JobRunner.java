package org.waxwingcourse.fleet.job;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineCalls;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostRegistration;
import org.waxwingcourse.fleet.view.KeyNames;
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

/** The jobs that this host runs. */
final class JobRunner {
  private static final EventLog LOG = EventLog.of(JobRunner.class);

  private final Ports ports;
  private final Map<JobId, RunningJob> running = new ConcurrentHashMap<>();
  private final Set<JobId> taking = ConcurrentHashMap.newKeySet();
  private volatile boolean stopped;

  /**
   * What running jobs works with.
   *
   * @param self this process
   * @param registration shows under which term this host holds its jobs
   * @param store the entries of jobs
   * @param clock the steady clock
   * @param wall the wall clock, by which jobs are due
   * @param timer runs what is due; it does not block
   * @param random for the choice between a route's services
   * @param storeView the content of the store as this host knows it
   * @param engines the engines
   * @param calls sends to engines
   * @param slots asks for slots
   * @param times how long items run
   * @param onStarted hears of each job that begins to run here
   * @param onFinished hears of each job whose results all stand, with them
   * @param promptParts reads the ids of shared prompt parts from an item's headers
   */
  record Ports(
      RunnerName self,
      HostRegistration registration,
      JobStore store,
      InstantSource clock,
      InstantSource wall,
      ScheduledExecutorService timer,
      RandomGenerator random,
      StoreView storeView,
      EngineDirectory engines,
      EngineCalls calls,
      SlotClient slots,
      RunTimes times,
      Consumer<RunningJob> onStarted,
      Consumer<RunningJob> onFinished,
      Function<List<ItemHeader>, List<Long>> promptParts) {}

  JobRunner(Ports ports) {
    this.ports = ports;
  }

  Option<RunningJob> get(JobId job) {
    return Option.of(running.get(job));
  }

  int size() {
    return running.size();
  }

  /** Returns the term under which a job that is written now is held. */
  long term() {
    return ports.registration().term();
  }

  /** Runs a job that has just been accepted here, written under {@code term}. */
  void start(JobId id, JobStore.Stored stored, List<JobItem> items, long term) {
    start(id, stored, items, List.of(), term);
  }

  private void start(
      JobId id, JobStore.Stored stored, List<JobItem> items, List<JobResult> results, long term) {
    if (stopped) {
      return;
    }
    RunningJob job =
        new RunningJob(id, stored, items, results, term, ports, () -> running.remove(id));
    if (running.putIfAbsent(id, job) == null) {
      ports.onStarted().accept(job);
      job.begin();
    }
  }

  /**
   * Takes over a job whose runner is gone, unless it is finished, ended or run here already. The
   * claim holds only while the runner's entry does not stand in the store; a runner whose entry has
   * lapsed confirms its jobs before it speaks for them again.
   */
  void take(JobId id) {
    if (stopped || running.containsKey(id) || !taking.add(id)) {
      return;
    }
    ports.store().record(id).thenAccept(answer -> onRecord(id, answer));
  }

  private void onRecord(JobId id, Either<StoreFailure, Option<JobStore.Stored>> answer) {
    if (answer.isLeft() || answer.get().isEmpty()) {
      taking.remove(id);
      return;
    }
    JobStore.Stored found = answer.get().get();
    JobRecord record = found.record();
    if (record.getClosed() || record.getListedCount() == record.getItemTokensCount()) {
      taking.remove(id);
      ports.store().write(Transaction.builder().delete(KeyNames.runnerKey(id)).build());
      return;
    }
    long term = term();
    if (ports.self().runs(record)) {
      resume(id, found, term);
      return;
    }
    JobRecord own =
        record.toBuilder()
            .setRunner(ports.self().host().value())
            .setRunnerBoot(ports.self().boot())
            .build();
    String runnersEntry = KeyNames.hostKey(HostId.of(record.getRunner()), record.getRunnerBoot());
    Transaction claim =
        Transaction.builder()
            .unchanged(KeyNames.jobKey(id), found.revision())
            .absent(runnersEntry)
            .put(KeyNames.jobKey(id), own.toByteArray())
            .put(KeyNames.runnerKey(id), ports.self().encode())
            .build();
    ports.store().write(claim).thenAccept(outcome -> onClaimed(id, own, term, outcome));
  }

  private void onClaimed(JobId id, JobRecord own, long term, WriteOutcome outcome) {
    if (!(outcome instanceof WriteOutcome.Done done)) {
      taking.remove(id);
      return;
    }
    LOG.write(Event.JOB_TAKEN, id, own.getListedCount(), own.getItemTokensCount());
    resume(id, new JobStore.Stored(own, done.revision()), term);
  }

  private void resume(JobId id, JobStore.Stored stored, long term) {
    ports
        .store()
        .items(id)
        .thenCombine(
            ports.store().results(id),
            (items, results) -> {
              taking.remove(id);
              if (items.isRight() && results.isRight()) {
                start(id, stored, items.get(), results.get(), term);
              } else {
                LOG.write(Event.JOB_UNREADABLE, id);
                ports.timer().schedule(() -> take(id), 1, TimeUnit.SECONDS);
              }
              return null;
            });
  }

  /** This host's entry had lapsed: each job is confirmed from its record, or left. */
  void confirmAll() {
    running.values().forEach(RunningJob::confirm);
  }

  /** The job was ended in the store. */
  void closed(JobId id) {
    get(id).forEach(job -> job.stop("the job was ended"));
  }

  /** Stops all jobs; their records name this host until another takes them. */
  void stop() {
    stopped = true;
    running.values().forEach(job -> job.stop("this host stops"));
  }
}

package org.waxwingcourse.fleet.job;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotSource;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.slot.BatchRunTimes;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.peer.PeerChannel;
import org.waxwingcourse.peer.PeerTransport;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.ItemHeader;
import org.waxwingcourse.wire.fleet.JobAnnounced;
import org.waxwingcourse.wire.fleet.JobAssigned;
import org.waxwingcourse.wire.fleet.JobClosed;
import org.waxwingcourse.wire.fleet.JobForwarded;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobPage;
import org.waxwingcourse.wire.fleet.JobRead;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;

/**
 * Serves the calls of callers about jobs on any host, and runs the jobs that this host has accepted
 * or taken over.
 */
public final class JobService implements FleetMessageRouter.JobMessageHandler {
  private static final EventLog LOG = EventLog.of(JobService.class);

  /**
   * Time that the runner gets to answer another host, in addition to the time that it may wait for
   * results.
   */
  private static final Duration PEER_ANSWER_MARGIN = Duration.ofMillis(350);

  /**
   * Time after which a caller may retry when the store refused a call; outages last a second or
   * more.
   */
  private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(500);

  /** Time after which a caller may retry on another host that reaches the store; one round trip. */
  private static final Duration OTHER_HOST_RETRY_DELAY = Duration.ofMillis(20);

  /** Maximum age of evidence that some host reaches the store; two reads of the configuration. */
  private static final Duration MAX_STORE_CONTACT_AGE = Duration.ofMillis(1500);

  private final Ports ports;
  private final RunnerName self;
  private final JobStore store;
  private final JobRunner runner;
  private final JobIntake intake;
  private final JobForwarder forwarder;
  private final Map<JobId, CachedJob> cachedJobs = CachedJob.newCache();
  private final PendingAnswers<JobPage> pendingReads;
  private final CloseNotifier closeNotifier;
  private final JobCloser closer;
  private final AtomicInteger unanswered = new AtomicInteger();

  /**
   * The dependencies of the service.
   *
   * @param store the store that all hosts share
   * @param registration shows whether this host may still answer for its jobs
   * @param peers sends messages to other hosts
   * @param clock the steady clock
   * @param wall the wall clock, by which jobs are due
   * @param timer runs scheduled tasks, which do not block
   * @param random source for the choice between a route's services
   * @param storeView the content of the store as this host knows it
   * @param engines the engines listed in the store
   * @param calls sends requests to engines
   * @param slots requests slots
   * @param promptParts extracts the ids of shared prompt parts from an item's headers
   * @param sizes reads the size of an item from its headers
   */
  public record Ports(
      Store store,
      HostEntryRegistration registration,
      PeerTransport peers,
      InstantSource clock,
      InstantSource wall,
      ScheduledExecutorService timer,
      RandomGenerator random,
      StoreView storeView,
      EngineDirectory engines,
      EngineSender calls,
      SlotSource slots,
      Function<List<ItemHeader>, List<Long>> promptParts,
      Function<List<ItemHeader>, RequestSize> sizes) {}

  /** Creates the service of one process. */
  public JobService(HostId host, long boot, Ports ports) {
    this.ports = ports;
    this.self = new RunnerName(host, boot);
    this.store = new JobStore(ports.store());
    this.forwarder = new JobForwarder(boot, this::send, ports.timer());
    this.pendingReads = new PendingAnswers<>(boot, ports.timer());
    this.closeNotifier = new CloseNotifier(boot, this::send, ports.clock(), ports.timer());
    this.closer =
        new JobCloser(store, ports.clock(), ports.timer(), this::unavailable, this::notifyRunner);
    this.runner =
        new JobRunner(
            new JobRunner.Ports(
                self,
                ports.registration(),
                store,
                ports.clock(),
                ports.wall(),
                ports.timer(),
                ports.random(),
                ports.storeView(),
                ports.engines(),
                ports.calls(),
                ports.slots(),
                new BatchRunTimes(),
                this::announceJob,
                this::cacheFinished,
                ports.promptParts(),
                ports.sizes()));
    this.intake =
        new JobIntake(
            store,
            runner,
            self,
            ports.clock(),
            ports.timer(),
            ports.registration()::storeResponseTime,
            this::storeRetryDelay);
  }

  /** Confirms the running jobs after this host's entry had expired and is in the store again. */
  public void onNewTerm() {
    runner.confirmAll();
  }

  /**
   * Accepts a job, or answers why not. A job that cannot be stored from here is forwarded to the
   * coordinator, if some host has reached the store lately.
   */
  public CompletableFuture<JobAnswer> submitJob(JobSubmission job) {
    return track(acceptOrForward(job));
  }

  private CompletableFuture<JobAnswer> acceptOrForward(JobSubmission job) {
    return intake
        .submit(job, ports.wall().instant())
        .thenCompose(
            answer -> {
              Option<HostId> other =
                  ports
                      .slots()
                      .coordinator()
                      .filter(h -> !h.equals(self.host()) && mayReceive(h, job));
              if (other.isEmpty()
                  || hasReachedStore(answer)
                  || !isStoreReached()
                  || !JobForwarder.mayForward(job)) {
                return completed(answer);
              }
              LOG.write(Event.JOB_FORWARDED, job.id(), other.get(), answer);
              Duration limit = AcceptancePatience.partOfOneHost(job.route().objective());
              return forwarder.forward(other.get(), job, answer, limit);
            });
  }

  /** Returns whether the items of a job may be sent to another host. */
  private boolean mayReceive(HostId host, JobSubmission job) {
    HomeRegions homes =
        ports
            .storeView()
            .plan()
            .map(p -> p.homes(job.route(), job.organisation()))
            .getOrElse(job.route().homes());
    return homes.allow(ports.storeView().fleetHosts().findHost(host).map(FleetHost::region));
  }

  private static boolean hasReachedStore(JobAnswer answer) {
    boolean refusedByStore = answer instanceof JobAnswer.Refused refused && !refused.overLimit();
    return !refusedByStore && !(answer instanceof JobAnswer.Unknown);
  }

  private void acceptForwarded(HostId from, JobForwarded message) {
    Option<JobSubmission> job = JobForwarder.decode(message, ports.storeView().plan());
    job.map(j -> intake.submit(j, ports.wall().instant()))
        .getOrElse(
            () -> completed(new JobAnswer.Refused(false, OTHER_HOST_RETRY_DELAY, "unknown route")))
        .thenAccept(
            answer ->
                send(
                    from,
                    FleetMessage.newBuilder()
                        .setJobForwardAnswer(JobForwarder.encode(message, answer))));
  }

  /** Returns the results from a position on, waiting up to {@code patience} for the first one. */
  public CompletableFuture<JobAnswer> readResults(
      JobId job, OrganisationId organisation, int after, Duration patience) {
    return track(findResults(job, organisation, after, patience));
  }

  private CompletableFuture<JobAnswer> findResults(
      JobId job, OrganisationId organisation, int after, Duration patience) {
    Option<RunningJob> runningJob = runner.findJob(job);
    if (runningJob.isDefined() && runningJob.get().isHeld()) {
      return runningJob.get().organisation().equals(organisation)
          ? readRunning(runningJob.get(), after, patience)
          : completed(new JobAnswer.NotFound());
    }
    CachedJob cached = cachedJobs.get(job);
    if (cached != null) {
      return readCached(job, cached, Option.none(), organisation, after, patience);
    }
    return store
        .readRecord(job)
        .thenCompose(
            answer -> {
              if (answer.isLeft()) {
                return completed(unavailable(answer.getLeft()));
              }
              if (answer.get().isEmpty()) {
                return completed(new JobAnswer.NotFound());
              }
              JobRecord record = answer.get().get().record();
              CachedJob cachedJob = updateCache(job, record, List.of());
              return readCached(job, cachedJob, Option.some(record), organisation, after, patience);
            });
  }

  /** Returns the body of an item that has no result yet. */
  public CompletableFuture<JobAnswer> readItemBody(
      JobId job, OrganisationId organisation, String item) {
    return track(findItemBody(job, organisation, item));
  }

  private CompletableFuture<JobAnswer> findItemBody(
      JobId job, OrganisationId organisation, String item) {
    Option<RunningJob> runningJob = runner.findJob(job);
    if (runningJob.isDefined() && runningJob.get().organisation().equals(organisation)) {
      return completed(findBody(runningJob.get().items(), item));
    }
    return store
        .readRecord(job)
        .thenCompose(
            answer -> {
              if (answer.isLeft()) {
                return completed(unavailable(answer.getLeft()));
              }
              boolean owned = answer.get().exists(s -> s.belongsTo(organisation));
              if (!owned || answer.get().get().record().getClosed()) {
                return completed(new JobAnswer.NotFound());
              }
              return store
                  .readItems(job)
                  .thenApply(items -> items.fold(this::unavailable, list -> findBody(list, item)));
            });
  }

  /** Closes a job. One that cannot be closed now is closed later, if the store answers by then. */
  public CompletableFuture<JobAnswer> closeJob(JobId job, OrganisationId organisation) {
    return track(closer.close(job, organisation));
  }

  /** Counts a call of a caller as unanswered until its answer is known. */
  private CompletableFuture<JobAnswer> track(CompletableFuture<JobAnswer> answer) {
    unanswered.incrementAndGet();
    return answer.whenComplete((a, error) -> unanswered.decrementAndGet());
  }

  /** Returns the number of calls of callers that have no answer yet. */
  public int countUnanswered() {
    return unanswered.get();
  }

  /** Returns the number of jobs that run here. */
  public int countRunning() {
    return runner.countRunning();
  }

  /** Registers the metrics of the jobs that run here. */
  public void registerMetrics(MetricRegistry metrics) {
    metrics.register("jobs.running", (Gauge<Integer>) this::countRunning);
    runner.waits().registerMetrics(metrics);
  }

  /** Counts the items that have no run, and logs those that have waited for long. */
  public void checkWaits() {
    runner.checkWaits();
  }

  /** Takes over a job whose runner is gone. */
  public void takeOver(JobId job) {
    runner.takeOver(job);
  }

  /** Stops all running jobs. */
  public void stop() {
    runner.stop();
  }

  @Override
  public void onJobMessage(HostId from, FleetMessage message) {
    switch (message.getBodyCase()) {
      case JOB_READ -> answerRead(from, message.getJobRead());
      case JOB_PAGE -> onPage(from, message.getJobPage());
      case JOB_FORWARDED -> acceptForwarded(from, message.getJobForwarded());
      case JOB_FORWARD_ANSWER -> forwarder.onAnswer(from, message.getJobForwardAnswer());
      case JOB_CLOSED -> onClosed(from, message.getJobClosed());
      case JOB_ANNOUNCED -> onAnnounced(message.getJobAnnounced());
      case JOB_ASSIGNED -> runner.takeOver(JobId.of(message.getJobAssigned().getJob()));
      default -> LOG.write(Event.FLEET_MESSAGE_UNREADABLE, from, message.getBodyCase());
    }
  }

  /** Asks a host, possibly this one, to take over a job. */
  void assignJob(HostId host, JobId job) {
    LOG.write(Event.JOB_ASSIGNED, job, host);
    remindRunner(host, job);
  }

  /** Has a host take over a job unless it runs it already. */
  void remindRunner(HostId host, JobId job) {
    send(
        host,
        FleetMessage.newBuilder().setJobAssigned(JobAssigned.newBuilder().setJob(job.value())));
  }

  private CompletableFuture<JobAnswer> readRunning(RunningJob job, int after, Duration patience) {
    JobAnswer.Page page = job.page(after);
    if (!page.results().isEmpty() || patience.isZero()) {
      return completed(page);
    }
    return Timeouts.completeAfter(patience, null, job.whenResultsAfter(after), ports.timer())
        .thenApply(nothing -> job.page(after));
  }

  /**
   * Returns results from the cache, from the job's runner or from the store.
   *
   * @param record the job's record if it has just been read
   */
  private CompletableFuture<JobAnswer> readCached(
      JobId job,
      CachedJob cached,
      Option<JobRecord> record,
      OrganisationId organisation,
      int after,
      Duration patience) {
    if (!cached.belongsTo(organisation)) {
      return completed(new JobAnswer.NotFound());
    }
    if (cached.hasResultsAfter(after) || cached.isComplete()) {
      return completed(cached.page(after));
    }
    HostId host = cached.runner();
    return askRunner(job, host, after, patience)
        .thenCompose(
            page -> {
              if (page.isDefined() && page.get().getKnown()) {
                cached.addResults(page.get().getAfter(), page.get().getResultsList());
                return completed(
                    new JobAnswer.Page(cached.itemCount(), after, page.get().getResultsList()));
              }
              // A runner that has answered that it does not run the job has added no results since.
              Option<JobRecord> current =
                  page.isDefined() || !mayAsk(host) ? record : Option.none();
              return current
                  .map(r -> loadResults(job, r))
                  .getOrElse(() -> loadFromStore(job))
                  .thenApply(answer -> pageOrRefusal(answer, organisation, after));
            });
  }

  private boolean mayAsk(HostId host) {
    return !host.equals(self.host()) && ports.storeView().fleetHosts().findHost(host).isDefined();
  }

  private CompletableFuture<Option<JobPage>> askRunner(
      JobId job, HostId host, int after, Duration patience) {
    if (!mayAsk(host)) {
      return completed(Option.none());
    }
    JobRead.Builder message =
        JobRead.newBuilder().setJob(job.value()).setAfter(after).setWaitNanos(patience.toNanos());
    return pendingReads.await(
        host,
        job,
        question ->
            send(
                host,
                FleetMessage.newBuilder()
                    .setJobRead(message.setNumber(question.number()).setBoot(question.boot()))),
        patience.plus(PEER_ANSWER_MARGIN));
  }

  private void onPage(HostId from, JobPage page) {
    pendingReads.complete(
        new Question(from, page.getBoot(), page.getNumber(), page.getJob()), page);
  }

  private void answerRead(HostId from, JobRead readRequest) {
    JobId job = JobId.of(readRequest.getJob());
    Option<RunningJob> runningJob = runner.findJob(job);
    CachedJob finished = cachedJobs.get(job);
    if (runningJob.isEmpty() && finished != null && finished.isComplete()) {
      sendPage(from, page(readRequest, finished.page(readRequest.getAfter())));
      return;
    }
    if (runningJob.isEmpty() || !runningJob.get().isHeld()) {
      sendPage(from, answerTo(readRequest).build());
      return;
    }
    readRunning(
            runningJob.get(), readRequest.getAfter(), Duration.ofNanos(readRequest.getWaitNanos()))
        .thenAccept(answer -> sendPage(from, page(readRequest, (JobAnswer.Page) answer)));
  }

  private static JobPage page(JobRead readRequest, JobAnswer.Page page) {
    return answerTo(readRequest)
        .setKnown(true)
        .setAfter(page.after())
        .addAllResults(page.results())
        .build();
  }

  private static JobPage.Builder answerTo(JobRead readRequest) {
    return JobPage.newBuilder()
        .setNumber(readRequest.getNumber())
        .setBoot(readRequest.getBoot())
        .setJob(readRequest.getJob());
  }

  /** Announces to all hosts that a job runs here, so that they request its results here. */
  private void announceJob(RunningJob job) {
    JobAnnounced.Builder message =
        JobAnnounced.newBuilder()
            .setJob(job.id().value())
            .setOrganisation(job.organisation().value())
            .setTotal(job.itemCount())
            .setRunner(self.host().value());
    ports
        .storeView()
        .fleetHosts()
        .othersThan(self.host())
        .forEach(h -> send(h, FleetMessage.newBuilder().setJobAnnounced(message)));
  }

  private void onAnnounced(JobAnnounced message) {
    HostId host = HostId.of(message.getRunner());
    OrganisationId organisation = OrganisationId.of(message.getOrganisation());
    cachedJobs
        .computeIfAbsent(
            JobId.of(message.getJob()), j -> new CachedJob(organisation, message.getTotal(), host))
        .changeRunner(host);
  }

  /** Caches the results of a job that has finished here for later readers. */
  private void cacheFinished(RunningJob job) {
    CachedJob finishedJob = new CachedJob(job.organisation(), job.itemCount(), self.host());
    finishedJob.addResults(0, job.page(0).results());
    cachedJobs.put(job.id(), finishedJob);
  }

  private void sendPage(HostId to, JobPage page) {
    send(to, FleetMessage.newBuilder().setJobPage(page));
  }

  /** Reads a job from the store and caches it. */
  private CompletableFuture<Either<StoreFailure, Option<CachedJob>>> loadFromStore(JobId job) {
    return store
        .readRecord(job)
        .thenCompose(
            answer -> {
              if (answer.isLeft() || answer.get().isEmpty()) {
                return completed(answer.map(o -> Option.<CachedJob>none()));
              }
              return loadResults(job, answer.get().get().record());
            });
  }

  /** Reads the results that a record lists and caches them. */
  private CompletableFuture<Either<StoreFailure, Option<CachedJob>>> loadResults(
      JobId job, JobRecord record) {
    if (record.getListedCount() == 0) {
      return completed(Either.right(Option.some(updateCache(job, record, List.of()))));
    }
    return store
        .readResults(job)
        .thenApply(r -> r.map(list -> Option.some(updateCache(job, record, list))));
  }

  private CachedJob updateCache(JobId job, JobRecord record, List<JobResult> results) {
    CachedJob cachedJob = cachedJobs.computeIfAbsent(job, j -> new CachedJob(record));
    cachedJob.updateRunner(record);
    cachedJob.addResults(0, results);
    return cachedJob;
  }

  private JobAnswer pageOrRefusal(
      Either<StoreFailure, Option<CachedJob>> answer, OrganisationId organisation, int after) {
    if (answer.isLeft()) {
      return unavailable(answer.getLeft());
    }
    boolean owned = answer.get().exists(k -> k.belongsTo(organisation));
    return owned ? answer.get().get().page(after) : new JobAnswer.NotFound();
  }

  private void notifyRunner(JobId job, HostId host) {
    stopClosed(job);
    if (!host.equals(self.host())) {
      closeNotifier.notifyRunner(host, job);
    }
  }

  private void onClosed(HostId from, JobClosed message) {
    if (message.getAnswer()) {
      closeNotifier.onConfirmation(from, message);
      return;
    }
    JobId job = JobId.of(message.getJob());
    LOG.write(Event.JOB_CLOSE_RECEIVED, from, job, runner.findJob(job).isDefined());
    stopClosed(job);
    send(from, FleetMessage.newBuilder().setJobClosed(message.toBuilder().setAnswer(true).build()));
  }

  private void stopClosed(JobId job) {
    cachedJobs.remove(job);
    runner.stopClosed(job);
  }

  private void send(HostId to, FleetMessage.Builder message) {
    ports.peers().send(to, PeerChannel.FLEET, message.build().toByteArray());
  }

  private static JobAnswer findBody(List<JobItem> items, String id) {
    Predicate<JobItem> matches = i -> i.getId().equals(id);
    return items.stream()
        .filter(matches)
        .findFirst()
        .<JobAnswer>map(i -> new JobAnswer.Body(i.getBody().toByteArray()))
        .orElseGet(JobAnswer.NotFound::new);
  }

  private JobAnswer unavailable(StoreFailure failure) {
    return new JobAnswer.Refused(false, storeRetryDelay(), failure.message());
  }

  /**
   * Returns the time after which a caller may retry. A store that refuses this host may still serve
   * others; their reads are reported as evidence.
   */
  private Duration storeRetryDelay() {
    return isStoreReached() ? OTHER_HOST_RETRY_DELAY : STORE_RETRY_DELAY;
  }

  private boolean isStoreReached() {
    return ports.storeView().evidence().isWithin(MAX_STORE_CONTACT_AGE);
  }

  private static <T> CompletableFuture<T> completed(T value) {
    return CompletableFuture.completedFuture(value);
  }
}

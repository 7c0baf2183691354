package org.waxwingcourse.fleet.job;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineCalls;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.HostRegistration;
import org.waxwingcourse.fleet.view.KeyNames;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.Peers;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.ItemHeader;
import org.waxwingcourse.wire.fleet.JobAnnounced;
import org.waxwingcourse.wire.fleet.JobAssigned;
import org.waxwingcourse.wire.fleet.JobClosed;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobPage;
import org.waxwingcourse.wire.fleet.JobRead;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;

/** Everything that callers do with jobs, on any host, and the running of those accepted here. */
public final class JobService implements FleetMessageRouter.JobMessageHandler {
  private static final EventLog LOG = EventLog.of(JobService.class);

  /** How much longer than it may wait a runner is given to answer another host. */
  private static final Duration PEER_MARGIN = Duration.ofMillis(350);

  /** How long the runner of an ended job is given to confirm before it is told again. */
  private static final Duration CLOSE_CONFIRM = Duration.ofMillis(300);

  private static final int CLOSE_TELLS = 6;
  private static final int MAX_RACES = 8;

  /** Jobs of other hosts that are remembered; a few megabytes of results. */
  private static final int MAX_KNOWN = 200;

  /** When to come back after the store refused a call; outages last a second or more. */
  private static final Duration STORE_RETRY = Duration.ofMillis(500);

  /** When to come back to another host, which reaches the store: after a round trip. */
  private static final Duration ELSEWHERE = Duration.ofMillis(20);

  /** Some host has read the store within this time; two reads of the configuration. */
  private static final Duration OTHERS_REACH_STORE = Duration.ofMillis(1500);

  private final Ports ports;
  private final RunnerName self;
  private final JobStore store;
  private final JobRunner runner;
  private final JobIntake intake;
  private final Map<JobId, KnownJob> known =
      Collections.synchronizedMap(
          new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<JobId, KnownJob> eldest) {
              return size() > MAX_KNOWN;
            }
          });
  private final Map<Long, CompletableFuture<Option<JobPage>>> asked = new ConcurrentHashMap<>();
  private final Map<Long, JobId> unconfirmed = new ConcurrentHashMap<>();
  private final AtomicLong numbers = new AtomicLong();

  /**
   * What the service works with.
   *
   * @param store the platform's store
   * @param registration shows whether this host may still speak for its jobs
   * @param peers reaches other hosts
   * @param clock the steady clock
   * @param wall the wall clock, by which jobs are due
   * @param timer runs what is due; it does not block
   * @param random for the choice between a route's services
   * @param storeView the content of the store as this host knows it
   * @param engines the engines
   * @param calls sends to engines
   * @param slots asks for slots
   * @param promptParts reads the ids of shared prompt parts from an item's headers
   */
  public record Ports(
      Store store,
      HostRegistration registration,
      Peers peers,
      InstantSource clock,
      InstantSource wall,
      ScheduledExecutorService timer,
      RandomGenerator random,
      StoreView storeView,
      EngineDirectory engines,
      EngineCalls calls,
      SlotClient slots,
      Function<List<ItemHeader>, List<Long>> promptParts) {}

  /** Creates the service of one process. */
  public JobService(HostId host, long boot, Ports ports) {
    this.ports = ports;
    this.self = new RunnerName(host, boot);
    this.store = new JobStore(ports.store());
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
                new RunTimes(),
                this::announce,
                this::keep,
                ports.promptParts()));
    this.intake = new JobIntake(store, runner, self, ports.timer(), this::storeRetry);
  }

  /** This host's entry had lapsed and stands again. */
  public void onNewTerm() {
    runner.confirmAll();
  }

  /** Accepts a job, or says why not. */
  public CompletableFuture<JobAnswer> submit(JobSubmission job) {
    return intake.submit(job, ports.wall().instant());
  }

  /** Returns results from a position on, waiting up to {@code patience} for the first. */
  public CompletableFuture<JobAnswer> read(
      JobId job, OrganisationId organisation, int after, Duration patience) {
    Option<RunningJob> own = runner.get(job);
    if (own.isDefined() && own.get().isHeld()) {
      return own.get().organisation().equals(organisation)
          ? readOwn(own.get(), after, patience)
          : done(new JobAnswer.NotFound());
    }
    KnownJob cached = known.get(job);
    if (cached != null) {
      return readKnown(job, cached, organisation, after, patience);
    }
    return store
        .record(job)
        .thenCompose(
            answer -> {
              if (answer.isLeft()) {
                return done(unavailable(answer.getLeft()));
              }
              if (answer.get().isEmpty()) {
                return done(new JobAnswer.NotFound());
              }
              KnownJob fresh = remember(job, answer.get().get().record(), List.of());
              return readKnown(job, fresh, organisation, after, patience);
            });
  }

  /** Returns the body of an item that has no result yet. */
  public CompletableFuture<JobAnswer> body(JobId job, OrganisationId organisation, String item) {
    Option<RunningJob> own = runner.get(job);
    if (own.isDefined() && own.get().organisation().equals(organisation)) {
      return done(bodyIn(own.get().items(), item));
    }
    return store
        .record(job)
        .thenCompose(
            answer -> {
              if (answer.isLeft()) {
                return done(unavailable(answer.getLeft()));
              }
              boolean mine = answer.get().exists(s -> isOf(s.record(), organisation));
              if (!mine || answer.get().get().record().getClosed()) {
                return done(new JobAnswer.NotFound());
              }
              return store
                  .items(job)
                  .thenApply(items -> items.fold(this::unavailable, list -> bodyIn(list, item)));
            });
  }

  /** Ends a job. */
  public CompletableFuture<JobAnswer> close(JobId job, OrganisationId organisation) {
    return close(job, organisation, 0);
  }

  /** Returns the jobs that run here. */
  public int running() {
    return runner.size();
  }

  /** Takes over a job whose runner is gone. */
  public void take(JobId job) {
    runner.take(job);
  }

  /** Stops running jobs. */
  public void stop() {
    runner.stop();
  }

  @Override
  public void onJobMessage(HostId from, FleetMessage message) {
    switch (message.getBodyCase()) {
      case JOB_READ -> answerRead(from, message.getJobRead());
      case JOB_PAGE -> {
        CompletableFuture<Option<JobPage>> waiting = asked.remove(message.getJobPage().getNumber());
        if (waiting != null) {
          waiting.complete(Option.some(message.getJobPage()));
        }
      }
      case JOB_CLOSED -> onClosed(from, message.getJobClosed());
      case JOB_ANNOUNCED -> onAnnounced(message.getJobAnnounced());
      case JOB_ASSIGNED -> runner.take(JobId.of(message.getJobAssigned().getJob()));
      default -> LOG.write(Event.FLEET_MESSAGE_UNREADABLE, from, message.getBodyCase());
    }
  }

  /** Asks another host to run a job, or runs it here. */
  void assign(HostId host, JobId job) {
    LOG.write(Event.JOB_ASSIGNED, job, host);
    send(
        host,
        FleetMessage.newBuilder().setJobAssigned(JobAssigned.newBuilder().setJob(job.value())));
  }

  private CompletableFuture<JobAnswer> readOwn(RunningJob job, int after, Duration patience) {
    JobAnswer.Page page = job.page(after);
    if (!page.results().isEmpty() || patience.isZero()) {
      return done(page);
    }
    return job.resultsAfter(after)
        .completeOnTimeout(null, patience.toMillis(), TimeUnit.MILLISECONDS)
        .thenApply(nothing -> job.page(after));
  }

  private CompletableFuture<JobAnswer> readKnown(
      JobId job, KnownJob cached, OrganisationId organisation, int after, Duration patience) {
    if (!cached.isOf(organisation)) {
      return done(new JobAnswer.NotFound());
    }
    if (cached.hasAfter(after) || cached.isComplete()) {
      return done(cached.page(after));
    }
    return askRunner(job, cached, after, patience)
        .thenCompose(
            page -> {
              if (page.isDefined() && page.get().getKnown()) {
                cached.add(page.get().getAfter(), page.get().getResultsList());
                return done(new JobAnswer.Page(cached.total(), after, page.get().getResultsList()));
              }
              return load(job).thenApply(answer -> pageOf(answer, organisation, after));
            });
  }

  private CompletableFuture<Option<JobPage>> askRunner(
      JobId job, KnownJob cached, int after, Duration patience) {
    HostId host = cached.runner();
    if (host.equals(self.host()) || ports.storeView().fleetHosts().get(host).isEmpty()) {
      return done(Option.none());
    }
    long number = numbers.incrementAndGet();
    CompletableFuture<Option<JobPage>> waiting = new CompletableFuture<>();
    asked.put(number, waiting);
    send(
        host,
        FleetMessage.newBuilder()
            .setJobRead(
                JobRead.newBuilder()
                    .setNumber(number)
                    .setJob(job.value())
                    .setAfter(after)
                    .setWaitNanos(patience.toNanos())));
    long limit = patience.plus(PEER_MARGIN).toMillis();
    return waiting
        .completeOnTimeout(Option.none(), limit, TimeUnit.MILLISECONDS)
        .whenComplete((page, error) -> asked.remove(number));
  }

  private void answerRead(HostId from, JobRead ask) {
    JobId job = JobId.of(ask.getJob());
    Option<RunningJob> own = runner.get(job);
    KnownJob finished = known.get(job);
    if (own.isEmpty() && finished != null && finished.isComplete()) {
      sendPage(from, page(ask, finished.page(ask.getAfter())));
      return;
    }
    if (own.isEmpty() || !own.get().isHeld()) {
      sendPage(from, JobPage.newBuilder().setNumber(ask.getNumber()).build());
      return;
    }
    readOwn(own.get(), ask.getAfter(), Duration.ofNanos(ask.getWaitNanos()))
        .thenAccept(answer -> sendPage(from, page(ask, (JobAnswer.Page) answer)));
  }

  private static JobPage page(JobRead ask, JobAnswer.Page page) {
    return JobPage.newBuilder()
        .setNumber(ask.getNumber())
        .setKnown(true)
        .setAfter(page.after())
        .addAllResults(page.results())
        .build();
  }

  /** Tells all hosts where a job runs, so that they ask there for its results. */
  private void announce(RunningJob job) {
    JobAnnounced.Builder message =
        JobAnnounced.newBuilder()
            .setJob(job.id().value())
            .setOrganisation(job.organisation().value())
            .setTotal(job.total())
            .setRunner(self.host().value());
    ports.storeView().fleetHosts().inRegistrationOrder().stream()
        .map(FleetHost::id)
        .filter(h -> !h.equals(self.host()))
        .forEach(h -> send(h, FleetMessage.newBuilder().setJobAnnounced(message)));
  }

  private void onAnnounced(JobAnnounced message) {
    HostId host = HostId.of(message.getRunner());
    OrganisationId organisation = OrganisationId.of(message.getOrganisation());
    known
        .computeIfAbsent(
            JobId.of(message.getJob()), j -> new KnownJob(organisation, message.getTotal(), host))
        .runsAt(host);
  }

  /** Keeps the results of a job that has run here for later readers. */
  private void keep(RunningJob job) {
    KnownJob kept = new KnownJob(job.organisation(), job.total(), self.host());
    kept.add(0, job.page(0).results());
    known.put(job.id(), kept);
  }

  private void sendPage(HostId to, JobPage page) {
    send(to, FleetMessage.newBuilder().setJobPage(page));
  }

  /** Reads a job from the store and remembers it. */
  private CompletableFuture<Either<StoreFailure, Option<KnownJob>>> load(JobId job) {
    return store
        .record(job)
        .thenCompose(
            answer -> {
              if (answer.isLeft() || answer.get().isEmpty()) {
                return done(answer.map(o -> Option.<KnownJob>none()));
              }
              JobRecord record = answer.get().get().record();
              if (record.getListedCount() == 0) {
                return done(Either.right(Option.some(remember(job, record, List.of()))));
              }
              return store
                  .results(job)
                  .thenApply(r -> r.map(list -> Option.some(remember(job, record, list))));
            });
  }

  private KnownJob remember(JobId job, JobRecord record, List<JobResult> results) {
    KnownJob fresh = known.computeIfAbsent(job, j -> new KnownJob(record));
    fresh.update(record);
    fresh.add(0, results);
    return fresh;
  }

  private JobAnswer pageOf(
      Either<StoreFailure, Option<KnownJob>> answer, OrganisationId organisation, int after) {
    if (answer.isLeft()) {
      return unavailable(answer.getLeft());
    }
    boolean mine = answer.get().exists(k -> k.isOf(organisation));
    return mine ? answer.get().get().page(after) : new JobAnswer.NotFound();
  }

  private CompletableFuture<JobAnswer> close(JobId job, OrganisationId organisation, int races) {
    return store
        .record(job)
        .thenCompose(
            answer -> {
              if (answer.isLeft()) {
                return done(unavailable(answer.getLeft()));
              }
              if (!answer.get().exists(s -> isOf(s.record(), organisation))) {
                return done(new JobAnswer.NotFound());
              }
              return close(job, organisation, answer.get().get(), races);
            });
  }

  private CompletableFuture<JobAnswer> close(
      JobId job, OrganisationId organisation, JobStore.Stored found, int races) {
    JobRecord record = found.record();
    if (record.getClosed() || record.getListedCount() == record.getItemTokensCount()) {
      return done(new JobAnswer.Closed());
    }
    JobRecord closed = record.toBuilder().setClosed(true).build();
    Transaction transaction =
        Transaction.builder()
            .unchanged(KeyNames.jobKey(job), found.revision())
            .put(KeyNames.jobKey(job), closed.toByteArray())
            .delete(KeyNames.runnerKey(job))
            .build();
    return store
        .write(transaction)
        .thenCompose(
            outcome -> {
              if (outcome instanceof WriteOutcome.Done) {
                LOG.write(Event.JOB_CLOSED, job, organisation, record.getRunner());
                tellRunner(job, HostId.of(record.getRunner()));
                return done(new JobAnswer.Closed());
              }
              if (outcome instanceof WriteOutcome.NotSent notSent) {
                return done(unavailable(notSent.failure()));
              }
              return races < MAX_RACES
                  ? close(job, organisation, races + 1)
                  : done(new JobAnswer.Unknown("the record changed each time"));
            });
  }

  private void tellRunner(JobId job, HostId host) {
    known.remove(job);
    runner.closed(job);
    if (!host.equals(self.host())) {
      long number = numbers.incrementAndGet();
      unconfirmed.put(number, job);
      tellClosed(number, job, host, CLOSE_TELLS);
    }
  }

  private void tellClosed(long number, JobId job, HostId host, int tells) {
    if (tells == 0 || !unconfirmed.containsKey(number)) {
      unconfirmed.remove(number);
      return;
    }
    sendClosed(host, JobClosed.newBuilder().setJob(job.value()).setNumber(number).build());
    ports
        .timer()
        .schedule(
            () -> tellClosed(number, job, host, tells - 1),
            CLOSE_CONFIRM.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  private void onClosed(HostId from, JobClosed message) {
    if (message.getAnswer()) {
      unconfirmed.remove(message.getNumber());
      return;
    }
    JobId job = JobId.of(message.getJob());
    known.remove(job);
    runner.closed(job);
    sendClosed(from, message.toBuilder().setAnswer(true).build());
  }

  private void sendClosed(HostId to, JobClosed message) {
    send(to, FleetMessage.newBuilder().setJobClosed(message));
  }

  private void send(HostId to, FleetMessage.Builder message) {
    ports.peers().send(to, Channel.FLEET, message.build().toByteArray());
  }

  private static JobAnswer bodyIn(List<JobItem> items, String id) {
    Predicate<JobItem> matches = i -> i.getId().equals(id);
    return items.stream()
        .filter(matches)
        .findFirst()
        .<JobAnswer>map(i -> new JobAnswer.Body(i.getBody().toByteArray()))
        .orElseGet(JobAnswer.NotFound::new);
  }

  private static boolean isOf(JobRecord record, OrganisationId organisation) {
    return record.getOrganisation().equals(organisation.value());
  }

  private JobAnswer unavailable(StoreFailure failure) {
    return new JobAnswer.Refused(false, storeRetry(), failure.message());
  }

  /** A store that turns this host away may serve the others; they vouch for what they read. */
  private Duration storeRetry() {
    return ports.storeView().evidence().isWithin(OTHERS_REACH_STORE) ? ELSEWHERE : STORE_RETRY;
  }

  private static <T> CompletableFuture<T> done(T value) {
    return CompletableFuture.completedFuture(value);
  }
}

package org.waxwingcourse.fleet;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.stream.Stream;
import org.waxwingcourse.fleet.coordinate.Coordinator;
import org.waxwingcourse.fleet.coordinate.CoordinatorLink;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.HostEngines;
import org.waxwingcourse.fleet.coordinate.QueueTimer;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineEntryReader;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.evacuate.EngineConditions;
import org.waxwingcourse.fleet.evacuate.OrderReader;
import org.waxwingcourse.fleet.job.ExpiredJobRemover;
import org.waxwingcourse.fleet.job.JobService;
import org.waxwingcourse.fleet.job.JobSupervisor;
import org.waxwingcourse.fleet.online.AdmissionGate;
import org.waxwingcourse.fleet.online.OnlineService;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.plan.PlanReader;
import org.waxwingcourse.fleet.quarantine.QuarantineKeeper;
import org.waxwingcourse.fleet.reach.DirectSender;
import org.waxwingcourse.fleet.reach.ReachMonitor;
import org.waxwingcourse.fleet.relay.RelayClient;
import org.waxwingcourse.fleet.relay.RelayHosts;
import org.waxwingcourse.fleet.relay.RelayMessages;
import org.waxwingcourse.fleet.relay.RelayServer;
import org.waxwingcourse.fleet.relay.RelayingSender;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineAnswerWatch;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.FleetHosts;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreFollower;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.peer.FleetSecret;
import org.waxwingcourse.peer.NettyPeerTransport;
import org.waxwingcourse.peer.PeerChannel;
import org.waxwingcourse.peer.PeerSettings;
import org.waxwingcourse.policy.place.RendezvousHash;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.wire.fleet.ItemHeader;

/** One host of the fleet: creates its components and starts and stops them in order. */
public final class FleetNode implements Service {
  private static final EventLog LOG = EventLog.of(FleetNode.class);

  /**
   * Interval between pings; a host counts as lost after three pings without a pong. The other steps
   * of an idle host are run with them.
   */
  private static final Duration PING_INTERVAL = Duration.ofMillis(130);

  /**
   * Interval between checks of the queues while there is work; small compared with the allowed
   * waiting time.
   */
  private static final Duration QUEUE_CHECK_INTERVAL = Duration.ofMillis(20);

  /**
   * Interval between checks for jobs without a runner; the due time of a job is many times longer.
   */
  private static final Duration JOB_CHECK_INTERVAL = Duration.ofMillis(1500);

  /** Interval between checks for items that wait; a host may run a job of 280,000 items. */
  private static final Duration WAIT_CHECK_INTERVAL = Duration.ofSeconds(6);

  /** Number of ping intervals between checks whether the quarantine must be stored. */
  private static final int QUARANTINE_CHECK_TICKS = 2;

  /** Interval between removals of jobs whose retention has ended. */
  private static final Duration JOB_REMOVAL_INTERVAL = Duration.ofSeconds(30);

  /**
   * Interval of heartbeats on peer connections; a connection that is silent for {@link
   * #PEER_SILENCE_LIMIT} is replaced.
   */
  private static final Duration PEER_HEARTBEAT_INTERVAL = Duration.ofMillis(300);

  private static final Duration PEER_SILENCE_LIMIT = Duration.ofMillis(900);

  /**
   * One thread reads a message and writes the reply; a second one would have to be woken for half
   * of the replies, and a host has about one core.
   */
  private static final int PEER_THREADS = 1;

  /** How long callers may use an answer about hosts; they may keep it three times as long. */
  public static final Duration HOST_LIST_LIFETIME = Duration.ofSeconds(2);

  /** Time reserved at the end of a planned stop for closing connections. */
  private static final Duration STOP_MARGIN = Duration.ofMillis(900);

  private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(50);
  private static final int MAX_HOSTS_IN_ANSWER = 64;

  private volatile FleetSettings settings;
  private final Clocks clocks;
  private final DeferredPeers peers = new DeferredPeers();
  private final ScheduledExecutorService timer;
  private final StoreView storeView;
  private final EngineDirectory engines;
  private final EngineConditions conditions;
  private final StreamOrigins streams = new StreamOrigins();
  private final HostEntryRegistration registration;
  private final StoreFollower follower;
  private final Coordinator coordinator;
  private final QuarantineKeeper quarantineKeeper;
  private final CoordinatorLink coordinatorLink;
  private final FleetMessageRouter messageRouter;
  private final ReachMonitor reach;
  private final RelayClient relayClient;
  private final RelayServer relayServer;
  private final AdmissionGate gate;
  private final OnlineService online;
  private final JobService jobs;
  private final JobSupervisor supervisor;
  private final ExpiredJobRemover expiredJobRemover;
  private final SecureRandom random;
  private volatile NettyPeerTransport peerTransport;
  private volatile Option<StopSchedule> stopSchedule = Option.none();
  private int quarantineTicks;

  /**
   * The external services and formats that a host depends on.
   *
   * @param store the store that all hosts share
   * @param sources the keys to follow in the store
   * @param evacuations the format of orders to evacuate a host, in the store
   * @param evacuationOrders parses orders to evacuate a data centre's engines
   * @param planReader parses the configuration
   * @param engineReader parses engine entries
   * @param calls sends requests to engines
   * @param promptParts extracts the ids of shared prompt parts from an item's headers
   * @param sizes reads the size of an item from its headers
   */
  public record Dependencies(
      Store store,
      StoreFollower.Sources sources,
      Evacuations.EvacuationFormat evacuations,
      OrderReader evacuationOrders,
      PlanReader planReader,
      EngineEntryReader engineReader,
      EngineSender calls,
      Function<List<ItemHeader>, List<Long>> promptParts,
      Function<List<ItemHeader>, RequestSize> sizes) {}

  /** Creates a host. */
  public FleetNode(
      FleetSettings settings, Dependencies outside, Clocks clocks, MetricRegistry metrics) {
    this.settings = settings;
    this.clocks = clocks;
    this.random = new SecureRandom();
    this.timer = createTimer();
    FleetHost self = createSelf(clocks.wall().instant().toEpochMilli());
    storeView = StoreView.of(outside.planReader(), clocks, outside.engineReader());
    conditions =
        new EngineConditions(
            storeView, outside.evacuationOrders(), clocks.steady(), this::regionOf);
    engines = new EngineDirectory(storeView.engineTable(), outside.engineReader(), conditions);
    registration =
        new HostEntryRegistration(self, outside.store(), storeView, clocks, timer, random);
    reach = new ReachMonitor(outside.calls(), engines::all, clocks.steady());
    RelayHosts relayHosts = new RelayHosts(clocks.steady(), random);
    relayClient = new RelayClient(self.boot(), peers, relayHosts, clocks.steady());
    DirectSender direct = new DirectSender(outside.calls(), reach);
    relayServer =
        new RelayServer(peers, watched(direct), engines, clocks.steady(), this::acceptsRelays);
    EngineSender calls = watched(new RelayingSender(direct, relayClient, relayHosts, reach, timer));
    follower = createFollower(outside);
    coordinator = new Coordinator(peers, clocks.steady());
    quarantineKeeper =
        new QuarantineKeeper(
            outside.store(), coordinator.quarantine(), coordinator.crashingRequests(), clocks);
    SlotClient slots =
        new SlotClient(peers, clocks.steady(), settings.dataCentre(), hostEngines(calls));
    coordinatorLink =
        new CoordinatorLink(
            self,
            peers,
            storeView,
            engines,
            clocks,
            follower,
            coordinator,
            slots,
            streams,
            registration::registeredAt);
    gate =
        new AdmissionGate(
            storeView, clocks, () -> this.settings.trustLimit(), this::endsBeforeStop);
    online = createOnlineService(calls, slots, metrics);
    jobs = createJobService(self, outside, calls, slots);
    messageRouter =
        new FleetMessageRouter(
            coordinatorLink, coordinator, slots, jobs, new RelayMessages(relayClient, relayServer));
    coordinatorLink.exchangeReach(reach, relayHosts, this::acceptsRelays);
    reach.setChangeListener(coordinatorLink::reportReach);
    supervisor = new JobSupervisor(outside.store(), storeView, clocks, jobs);
    expiredJobRemover =
        new ExpiredJobRemover(outside.store(), clocks.wall(), settings.jobRetention());
    registration.setNewTermListener(jobs::onNewTerm);
    registration.setFleetEntriesListener(quarantineKeeper::restore);
    storeView.addPlanListener(coordinator::setPlan);
    conditions.follow(engines);
    engines.addListener(coordinator::setEngines);
    engines.addStatementListener(coordinatorLink::reportStatements);
    registerMetrics(metrics);
  }

  @Override
  public void start() {
    registration.start().thenAccept(this::startComponents);
    follower.readConfiguration();
  }

  /**
   * Applies changed settings. Durations take effect at once; the addresses stay those of the start.
   */
  public void applySettings(FleetSettings changed) {
    if (!changed.equals(settings)) {
      LOG.write(Event.SETTINGS_CHANGED, changed);
      settings = changed;
      engines.refresh();
    }
  }

  /** Returns whether callers may be sent here. */
  public boolean isReady() {
    return !isLeaving()
        && storeView.plan().isDefined()
        && coordinatorLink.isAttached()
        && gate.trustsKeys();
  }

  /** Returns the service for online requests. */
  public OnlineService onlineService() {
    return online;
  }

  /** Returns the service for jobs. */
  public JobService jobService() {
    return jobs;
  }

  /** Returns the gate that admits requests. */
  public AdmissionGate gate() {
    return gate;
  }

  /** Returns the content of the store as this host knows it. */
  public StoreView storeView() {
    return storeView;
  }

  /** Returns whether the host has been told to stop. */
  public boolean isLeaving() {
    return stopSchedule.isDefined();
  }

  /**
   * Returns the addresses that a caller is to use, each as {@code host:port}. In a large fleet all
   * hosts return the same few addresses for a service name, so that the traffic of a service is
   * concentrated.
   */
  public List<String> callerAddresses(String serviceName) {
    return RendezvousHash.rank(
            callerHosts(serviceName), (FleetHost h) -> h.id().value(), serviceName)
        .stream()
        .limit(MAX_HOSTS_IN_ANSWER)
        .flatMap(h -> h.callerAddress().toJavaStream())
        .toList();
  }

  /** Returns the hosts in the home regions of a host name's routes, or all if there are none. */
  private List<FleetHost> callerHosts(String serviceName) {
    List<FleetHost> hosts = coordinatorLink.callerHosts();
    HomeRegions homes =
        storeView.plan().map(p -> p.homesOfHost(serviceName)).getOrElse(HomeRegions.ANY);
    return FleetHosts.preferInside(hosts, homes);
  }

  /** Announces to the fleet that this host stops; from now on callers are sent to other hosts. */
  public void announceStop() {
    LOG.write(Event.NODE_STOPPING, settings.host(), "shutdown was requested");
    stopSchedule =
        Option.some(
            StopSchedule.of(
                clocks.instant(),
                settings.stopLimit().minus(STOP_MARGIN),
                HOST_LIST_LIFETIME.multipliedBy(3)));
    registration.announceLeaving();
  }

  private boolean endsBeforeStop(Deadline answerBy) {
    return stopSchedule.forAll(s -> s.admits(answerBy));
  }

  /**
   * Waits until callers have had time to use other hosts and no request or job is in progress, or
   * until the stop limit is nearly reached.
   *
   * @param openExchanges returns how many requests of callers have been read whose response has not
   *     been written yet
   */
  public void awaitIdle(IntSupplier openExchanges) {
    StopSchedule schedule = stopSchedule.get();
    while (!schedule.mayEnd(isIdle() && openExchanges.getAsInt() == 0, clocks.instant())) {
      sleepPollInterval();
    }
    int cut = Math.max(online.activeRequests(), openExchanges.getAsInt());
    if (cut > 0) {
      LOG.write(Event.STOP_CUT, cut);
    }
  }

  private boolean isIdle() {
    return online.activeRequests() == 0
        && jobs.countRunning() == 0
        && jobs.countUnanswered() == 0
        && relayServer.countOpen() == 0;
  }

  @Override
  public void stop() {
    jobs.stop();
    registration.stop();
    sleepPollInterval();
    timer.shutdownNow();
    NettyPeerTransport currentTransport = peerTransport;
    if (currentTransport != null) {
      currentTransport.stop();
    }
    LOG.write(Event.NODE_STOPPED, settings.host());
  }

  private void startComponents(String secret) {
    PeerSettings peerSettings =
        PeerSettings.of(settings.host(), settings.peerAddress(), FleetSecret.of(secret))
            .withHeartbeatTiming(PEER_HEARTBEAT_INTERVAL, PEER_SILENCE_LIMIT)
            .withThreads(PEER_THREADS);
    NettyPeerTransport connectedTransport =
        NettyPeerTransport.of(peerSettings, this::findPeerAddress, clocks.steady(), random);
    connectedTransport.setHandler(PeerChannel.FLEET, messageRouter::onMessage);
    connectedTransport.start();
    peerTransport = connectedTransport;
    peers.connect(connectedTransport);
    QueueTimer queueTimer =
        new QueueTimer(
            timer, QUEUE_CHECK_INTERVAL, guarded(coordinator::processQueues), coordinator::hasWork);
    coordinator.setMessageListener(queueTimer::wake);
    // One timer for all, since each wake-up of an idle host costs more than these steps.
    repeat(
        PING_INTERVAL,
        coordinatorLink::updateAttachment,
        storeView::removeLapsed,
        reach::recheck,
        relayClient::checkOpenRequests,
        relayServer::cancelAbandoned,
        this::readEntriesOfReturnedEngines,
        queueTimer::runIfIdle,
        this::saveQuarantineIfDue);
    QueueTimer earlyTimer =
        new QueueTimer(
            timer,
            QUEUE_CHECK_INTERVAL,
            guarded(coordinatorLink::attachEarly),
            () -> !coordinatorLink.hasChosen());
    earlyTimer.wake();
    repeat(WAIT_CHECK_INTERVAL, jobs::checkWaits);
    repeat(JOB_CHECK_INTERVAL, () -> runIfCoordinator(supervisor::checkRunners));
    repeat(JOB_REMOVAL_INTERVAL, () -> runIfCoordinator(expiredJobRemover::removeExpired));
    LOG.write(
        Event.NODE_STARTED,
        settings.host(),
        settings.callerAddress().map(Object::toString).getOrElse("no address"));
  }

  /** Returns whether this host sends requests to engines for others. */
  private boolean acceptsRelays() {
    return !isLeaving() && !reach.isOutOfReach();
  }

  /** Returns a sender that records what engines say of themselves in their answers. */
  private EngineSender watched(EngineSender calls) {
    return new EngineAnswerWatch(calls, engines, clocks.wall());
  }

  private Option<String> regionOf(DataCentreId dataCentre) {
    return Option.of(settings.regions().get(dataCentre));
  }

  /** An entry that is written again with the same content is no change of the table. */
  private void readEntriesOfReturnedEngines() {
    if (conditions.awaitsEntries()) {
      engines.refresh();
    }
  }

  private void runIfCoordinator(Runnable step) {
    if (coordinatorLink.isSettledCoordinator()) {
      step.run();
    }
  }

  private Option<InetSocketAddress> findPeerAddress(HostId host) {
    return storeView.fleetHosts().findHost(host).map(FleetHost::peerAddress);
  }

  private void saveQuarantineIfDue() {
    quarantineTicks = (quarantineTicks + 1) % QUARANTINE_CHECK_TICKS;
    if (quarantineTicks == 0) {
      runIfCoordinator(quarantineKeeper::saveIfChanged);
    }
  }

  private void repeat(Duration interval, Runnable... steps) {
    List<Runnable> guarded = Stream.of(steps).map(FleetNode::guarded).toList();
    timer.scheduleWithFixedDelay(
        () -> guarded.forEach(Runnable::run), 0, interval.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns a step whose failure is logged, so that it and the others are run again. */
  private static Runnable guarded(Runnable step) {
    return () -> {
      try {
        step.run();
      } catch (RuntimeException e) {
        LOG.write(Event.STEP_FAILED, e.toString());
      }
    };
  }

  private static ScheduledExecutorService createTimer() {
    ScheduledThreadPoolExecutor executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "fleet-timer");
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
    return executor;
  }

  private FleetHost createSelf(long boot) {
    return new FleetHost(
        settings.host(),
        boot,
        settings.dataCentre(),
        settings.region(),
        settings.peerAddress(),
        settings.callerAddress().map(a -> a.getAddress().getHostAddress() + ":" + a.getPort()),
        false,
        Revision.NONE);
  }

  private StoreFollower createFollower(Dependencies outside) {
    Evacuations evacuations = new Evacuations(outside.store(), outside.evacuations());
    return new StoreFollower(
        outside.store(),
        storeView,
        clocks,
        timer,
        outside.sources(),
        operators -> {
          conditions.onRead(operators);
          evacuations.onOrders(operators.entries());
        });
  }

  private OnlineService createOnlineService(
      EngineSender calls, SlotClient slots, MetricRegistry metrics) {
    return new OnlineService(
        new OnlineService.Ports(
            clocks.steady(),
            timer,
            new Random(),
            gate,
            storeView,
            engines,
            calls,
            slots,
            coordinator.crashingRequests(),
            streams,
            metrics));
  }

  private JobService createJobService(
      FleetHost self, Dependencies outside, EngineSender calls, SlotClient slots) {
    return new JobService(
        settings.host(),
        self.boot(),
        new JobService.Ports(
            outside.store(),
            registration,
            peers,
            clocks.steady(),
            clocks.wall(),
            timer,
            new Random(),
            storeView,
            engines,
            calls,
            slots,
            outside.promptParts(),
            outside.sizes()));
  }

  private HostEngines hostEngines(EngineSender calls) {
    return new HostEngines() {
      @Override
      public List<UpstreamId> connected() {
        return calls.enginesWithIdleConnections();
      }

      @Override
      public void learn(EngineEntry entry) {
        engines.learn(entry);
      }
    };
  }

  private void registerMetrics(MetricRegistry metrics) {
    metrics.register("requests.underway", (Gauge<Integer>) online::activeRequests);
    jobs.registerMetrics(metrics);
    metrics.register(
        "configuration.revision", (Gauge<Long>) () -> storeView.planRevision().value());
    metrics.register(
        "configuration.evidence_age_ms",
        (Gauge<Long>) () -> storeView.evidence().age().map(Duration::toMillis).getOrElse(-1L));
    metrics.register(
        "hosts.known", (Gauge<Integer>) () -> storeView.fleetHosts().inRegistrationOrder().size());
    metrics.register("engines.known", (Gauge<Integer>) () -> engines.all().size());
    metrics.register(
        "engines.versions",
        (Gauge<Long>) () -> engines.all().stream().map(EngineEntry::software).distinct().count());
    metrics.register(
        "data_centres.evacuated", (Gauge<Integer>) () -> conditions.evacuated().size());
    metrics.register("engines.cold", (Gauge<Long>) this::countColdEngines);
    metrics.register(
        "engines.limited",
        (Gauge<Long>) () -> engines.all().stream().filter(e -> e.limit().isDefined()).count());
    metrics.register("engines.out_of_reach", (Gauge<Boolean>) reach::isOutOfReach);
    metrics.register("requests.relayed", (Gauge<Integer>) relayServer::countOpen);
    metrics.register("engines.refusing", (Gauge<Integer>) coordinator::countRefusingEngines);
  }

  private long countColdEngines() {
    return engines.all().stream()
        .flatMap(e -> e.condition().cold().toJavaStream())
        .filter(c -> c.until().isAfter(clocks.steady().instant()))
        .count();
  }

  private static void sleepPollInterval() {
    try {
      TimeUnit.MILLISECONDS.sleep(STOP_POLL_INTERVAL.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

package org.waxwingcourse.fleet;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.waxwingcourse.fleet.coordinate.Coordinator;
import org.waxwingcourse.fleet.coordinate.CoordinatorLink;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineCalls;
import org.waxwingcourse.fleet.engine.EngineEntryReader;
import org.waxwingcourse.fleet.job.JobService;
import org.waxwingcourse.fleet.job.JobSupervisor;
import org.waxwingcourse.fleet.job.JobSweep;
import org.waxwingcourse.fleet.online.Gate;
import org.waxwingcourse.fleet.online.OnlineService;
import org.waxwingcourse.fleet.plan.PlanReader;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.HostRegistration;
import org.waxwingcourse.fleet.view.StoreFollower;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.FleetSecret;
import org.waxwingcourse.peer.NettyPeers;
import org.waxwingcourse.peer.PeerSettings;
import org.waxwingcourse.policy.place.RendezvousHash;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.wire.fleet.ItemHeader;

/** One host of the fleet: joins the parts and starts and stops them in order. */
public final class FleetNode implements Service {
  private static final EventLog LOG = EventLog.of(FleetNode.class);

  /** Pause between two pings; a host is taken for lost after three without an answer. */
  private static final Duration LINK_INTERVAL = Duration.ofMillis(130);

  /** Pause between two looks at the queues; small beside the time that may be waited. */
  private static final Duration QUEUE_INTERVAL = Duration.ofMillis(20);

  /** Pause between two looks for jobs without a runner; a job is due many times later. */
  private static final Duration SUPERVISION_INTERVAL = Duration.ofMillis(1500);

  /** Pause between two removals of jobs past their retention. */
  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(30);

  /** Heartbeats of connections in use, and the silence after which one is replaced. */
  private static final Duration PEER_HEARTBEAT = Duration.ofMillis(300);

  private static final Duration PEER_SILENCE = Duration.ofMillis(900);

  /** How long callers may act on an answer about hosts; they may keep it three times as long. */
  public static final Duration HOSTS_LIFETIME = Duration.ofSeconds(2);

  /** Time kept free at the end of a planned stop for closing what is open. */
  private static final Duration STOP_MARGIN = Duration.ofMillis(900);

  /**
   * Before the end of a planned stop no request is taken any more for this long, so that those
   * underway end whole; a stream lasts about a second.
   */
  private static final Duration LAST_REQUESTS = Duration.ofMillis(2500);

  private static final Duration STOP_POLL = Duration.ofMillis(50);
  private static final int MAX_HOSTS_IN_ANSWER = 64;

  private volatile FleetSettings settings;
  private final Clocks clocks;
  private final LatePeers peers = new LatePeers();
  private final ScheduledExecutorService timer;
  private final StoreView storeView;
  private final EngineDirectory engines;
  private final HostRegistration registration;
  private final StoreFollower follower;
  private final Coordinator coordinator;
  private final CoordinatorLink link;
  private final FleetMessageRouter channel;
  private final Gate gate;
  private final OnlineService online;
  private final JobService jobs;
  private final JobSupervisor supervisor;
  private final JobSweep sweep;
  private final SecureRandom random;
  private volatile NettyPeers transport;
  private volatile boolean leaving;
  private volatile Instant leftAt;

  /**
   * The outside as a host needs it.
   *
   * @param store the store that all hosts share
   * @param sources what is followed there
   * @param evacuations how orders to empty a host stand there
   * @param planReader reads the configuration
   * @param engineReader reads an engine's entry
   * @param calls sends to engines
   * @param promptParts reads the ids of shared prompt parts from an item's headers
   */
  public record Outside(
      Store store,
      StoreFollower.Sources sources,
      Evacuations.Form evacuations,
      PlanReader planReader,
      EngineEntryReader engineReader,
      EngineCalls calls,
      Function<List<ItemHeader>, List<Long>> promptParts) {}

  /** Creates a host. */
  public FleetNode(FleetSettings settings, Outside outside, Clocks clocks, MetricRegistry metrics) {
    this.settings = settings;
    this.clocks = clocks;
    this.random = new SecureRandom();
    this.timer = timer();
    FleetHost self = self(clocks.wall().instant().toEpochMilli());
    storeView = StoreView.of(outside.planReader(), clocks);
    engines = new EngineDirectory(storeView.engineTable(), outside.engineReader());
    registration = new HostRegistration(self, outside.store(), storeView, clocks, timer, random);
    Evacuations evacuations = new Evacuations(outside.store(), outside.evacuations());
    follower =
        new StoreFollower(
            outside.store(), storeView, clocks, timer, outside.sources(), evacuations::onOrders);
    coordinator = new Coordinator(peers, clocks.steady());
    SlotClient slots = new SlotClient(peers, clocks.steady(), settings.dataCentre());
    link = new CoordinatorLink(self, peers, storeView, clocks, follower, coordinator, slots);
    gate = new Gate(storeView, clocks, () -> this.settings.trustLimit(), this::isClosing);
    RandomGenerator choice = RandomGenerator.getDefault();
    online =
        new OnlineService(
            new OnlineService.Ports(
                clocks.steady(),
                timer,
                choice,
                gate,
                storeView,
                engines,
                outside.calls(),
                slots,
                metrics));
    jobs =
        new JobService(
            settings.host(),
            self.boot(),
            new JobService.Ports(
                outside.store(),
                registration,
                peers,
                clocks.steady(),
                clocks.wall(),
                timer,
                choice,
                storeView,
                engines,
                outside.calls(),
                slots,
                outside.promptParts()));
    channel = new FleetMessageRouter(link, coordinator, slots, jobs);
    supervisor = new JobSupervisor(outside.store(), storeView, clocks, jobs);
    sweep = new JobSweep(outside.store(), clocks.wall(), settings.jobRetention());
    registration.setNewTermListener(jobs::onNewTerm);
    storeView.addPlanListener(coordinator::setPlan);
    engines.addListener(coordinator::setEngines);
    register(metrics);
  }

  @Override
  public void start() {
    registration.start().thenAccept(this::join);
    follower.readConfiguration();
  }

  /**
   * Takes changed settings. Times apply from now on; the addresses of a process are those of its
   * start.
   */
  public void reload(FleetSettings changed) {
    if (!changed.equals(settings)) {
      LOG.write(Event.SETTINGS_CHANGED, changed);
      settings = changed;
    }
  }

  /** Tells whether callers may be sent here. */
  public boolean isReady() {
    return !leaving && storeView.plan().isDefined() && link.isAttached() && gate.trustsKeys();
  }

  /** Returns the way in for online requests. */
  public OnlineService online() {
    return online;
  }

  /** Returns the way in for jobs. */
  public JobService jobs() {
    return jobs;
  }

  /** Returns what lets requests in. */
  public Gate gate() {
    return gate;
  }

  /** Returns what the host knows. */
  public StoreView views() {
    return storeView;
  }

  /** Tells whether the host has been told to stop. */
  public boolean isLeaving() {
    return leaving;
  }

  /**
   * Returns the addresses that a caller is to use, each {@code host:port}. A service name is given
   * the same few hosts of a large fleet by every host, so that its traffic stays together.
   */
  public List<String> callerAddresses(String serviceName) {
    return RendezvousHash.rank(
            storeView.fleetHosts().callerHosts(), (FleetHost h) -> h.id().value(), serviceName)
        .stream()
        .limit(MAX_HOSTS_IN_ANSWER)
        .flatMap(h -> h.callerAddress().toJavaStream())
        .toList();
  }

  /** Tells the fleet that this host stops; callers are sent elsewhere from now on. */
  public void leave() {
    LOG.write(Event.NODE_STOPPING, settings.host(), "told to stop");
    leftAt = clocks.instant();
    leaving = true;
    registration.announceLeaving();
  }

  private Instant lastMoment() {
    return leftAt.plus(settings.stopLimit().minus(STOP_MARGIN));
  }

  /** Tells whether new requests are turned away, since they might not end before the process. */
  private boolean isClosing() {
    return leaving && clocks.instant().isAfter(lastMoment().minus(LAST_REQUESTS));
  }

  /** Returns once callers have had time to go elsewhere and nothing is underway, or time is up. */
  public void awaitIdle() {
    Instant end = lastMoment();
    Instant calm = leftAt.plus(HOSTS_LIFETIME.multipliedBy(3));
    boolean idle = false;
    while (!idle && clocks.instant().isBefore(end)) {
      idle =
          !clocks.instant().isBefore(calm) && online.activeRequests() == 0 && jobs.running() == 0;
      pause();
    }
    if (online.activeRequests() > 0) {
      LOG.write(Event.STOP_CUT, online.activeRequests());
    }
  }

  @Override
  public void stop() {
    jobs.stop();
    registration.stop();
    pause();
    timer.shutdownNow();
    NettyPeers open = transport;
    if (open != null) {
      open.stop();
    }
    LOG.write(Event.NODE_STOPPED, settings.host());
  }

  private void join(String secret) {
    PeerSettings peerSettings =
        PeerSettings.of(settings.host(), settings.peers(), FleetSecret.of(secret))
            .withHeartbeat(PEER_HEARTBEAT, PEER_SILENCE);
    NettyPeers opened = NettyPeers.of(peerSettings, this::findPeerAddress, clocks.steady(), random);
    opened.handle(Channel.FLEET, channel::onMessage);
    opened.start();
    transport = opened;
    peers.open(opened);
    every(LINK_INTERVAL, link::updateAttachment);
    every(QUEUE_INTERVAL, coordinator::processQueues);
    every(QUEUE_INTERVAL, link::attachEarly);
    every(SUPERVISION_INTERVAL, () -> whenCoordinating(supervisor::check));
    every(SWEEP_INTERVAL, () -> whenCoordinating(sweep::run));
    LOG.write(
        Event.NODE_STARTED,
        settings.host(),
        settings.callers().map(Object::toString).getOrElse("no address"));
  }

  private void whenCoordinating(Runnable step) {
    if (link.isSettledCoordinator()) {
      step.run();
    }
  }

  private Option<InetSocketAddress> findPeerAddress(HostId host) {
    return storeView.fleetHosts().get(host).map(FleetHost::peerAddress);
  }

  private void every(Duration interval, Runnable step) {
    timer.scheduleWithFixedDelay(
        () -> {
          try {
            step.run();
          } catch (RuntimeException e) {
            LOG.write(Event.STEP_FAILED, e.toString());
          }
        },
        0,
        interval.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private static ScheduledExecutorService timer() {
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

  private FleetHost self(long boot) {
    return new FleetHost(
        settings.host(),
        boot,
        settings.dataCentre(),
        settings.region(),
        settings.peers(),
        settings.callers().map(a -> a.getAddress().getHostAddress() + ":" + a.getPort()),
        false,
        Revision.NONE);
  }

  private void register(MetricRegistry metrics) {
    metrics.register("requests.underway", (Gauge<Integer>) online::activeRequests);
    metrics.register("jobs.running", (Gauge<Integer>) jobs::running);
    metrics.register(
        "configuration.revision", (Gauge<Long>) () -> storeView.planRevision().value());
    metrics.register(
        "configuration.evidence_age_ms",
        (Gauge<Long>) () -> storeView.evidence().age().map(Duration::toMillis).getOrElse(-1L));
    metrics.register(
        "hosts.known", (Gauge<Integer>) () -> storeView.fleetHosts().inRegistrationOrder().size());
    metrics.register("engines.known", (Gauge<Integer>) () -> engines.all().size());
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(STOP_POLL.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

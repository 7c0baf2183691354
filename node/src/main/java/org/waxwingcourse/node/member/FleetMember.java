package org.waxwingcourse.node.member;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import org.waxwingcourse.config.settings.NodeSettings;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.member.MembershipView;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.FleetSecret;
import org.waxwingcourse.peer.NettyPeers;
import org.waxwingcourse.peer.PeerSettings;
import org.waxwingcourse.peer.PeerStatistics;
import org.waxwingcourse.peer.Peers;
import org.waxwingcourse.peer.member.GossipCodec;
import org.waxwingcourse.policy.hosts.HostAnswer;
import org.waxwingcourse.policy.hosts.HostAnswers;
import org.waxwingcourse.policy.hosts.ListedLeaving;
import org.waxwingcourse.policy.hosts.PlannedStop;
import org.waxwingcourse.policy.hosts.StopSettings;
import org.waxwingcourse.policy.member.GossipMessage;
import org.waxwingcourse.policy.member.MemberLocation;
import org.waxwingcourse.policy.member.MembershipSettings;
import org.waxwingcourse.policy.member.Swim;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.hosts.HostList;

/**
 * Makes the node a member of the fleet: transports messages between hosts from its start, joins the
 * membership once the node serves callers, and leaves it in a planned stop.
 */
public final class FleetMember implements Service {
  private static final EventLog LOG = EventLog.of(FleetMember.class);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration DEREGISTRATION_TIMEOUT = Duration.ofSeconds(2);
  private static final int HOSTS_PER_ANSWER = 3;

  private final NodeSettings settings;
  private final Store store;
  private final HostList hostList;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final NettyPeers peers;
  private final JoinableView view;
  private final ListedLeaving listedLeaving;
  private final HostAnswers hostAnswers;
  private final PlannedStop plannedStop;
  private final CountDownLatch stopCompleted = new CountDownLatch(1);
  private volatile Swim swim;
  private ScheduledExecutorService ticker;
  private Deadline deregistrationDeadline;

  /** Creates the member; nothing is sent before {@link #start}. */
  public FleetMember(
      NodeSettings settings,
      Store store,
      HostList hostList,
      InstantSource clock,
      RandomGenerator random) {
    this.settings = settings;
    this.store = store;
    this.hostList = hostList;
    this.clock = clock;
    this.random = random;
    this.view = new JoinableView(memberBeforeJoining());
    this.peers = NettyPeers.of(peerSettings(), this::resolve, clock, new SecureRandom());
    this.listedLeaving = ListedLeaving.of(view::find);
    this.hostAnswers =
        HostAnswers.of(
            view,
            listedLeaving,
            HOSTS_PER_ANSWER,
            StopSettings.DEFAULT.answerValidity(),
            clock,
            random);
    this.plannedStop = PlannedStop.of(new SwimDeparture(() -> swim), StopSettings.DEFAULT, clock);
  }

  private Member memberBeforeJoining() {
    return new Member(
        settings.host(),
        settings.dataCentre(),
        settings.callerAddress(),
        settings.peers(),
        clock.instant().toEpochMilli(),
        MemberState.ALIVE);
  }

  private PeerSettings peerSettings() {
    FleetSecret secret = FleetSecret.of(settings.secret().value());
    return PeerSettings.of(settings.host(), settings.peers(), secret);
  }

  private Option<InetSocketAddress> resolve(HostId host) {
    return Option.ofOptional(view.peerAddress(host))
        .map(a -> new InetSocketAddress(a.getHostString(), a.getPort()));
  }

  /** Returns the transport of messages between hosts. */
  public Peers peers() {
    return peers;
  }

  /** Returns the hosts known to this host; only this host itself before it has joined. */
  public MembershipView view() {
    return view;
  }

  /** Returns the planned stop, to which other components add their steps. */
  public PlannedStop plannedStop() {
    return plannedStop;
  }

  /** Returns the hosts that a caller should use. */
  public HostAnswer hostsFor(Option<OrganisationId> organisation) {
    return hostAnswers.answer(organisation);
  }

  /** Registers the transport's counters as metrics of the node. */
  public void registerMetrics(MetricRegistry metrics) {
    registerGauge(metrics, "frames_sent", PeerStatistics::framesSent);
    registerGauge(metrics, "bytes_sent", PeerStatistics::bytesSent);
    registerGauge(metrics, "frames_received", PeerStatistics::framesReceived);
    registerGauge(metrics, "bytes_received", PeerStatistics::bytesReceived);
    registerGauge(metrics, "messages_dropped", PeerStatistics::dropped);
    registerGauge(metrics, "dials", PeerStatistics::dials);
    registerGauge(metrics, "connections_silent", PeerStatistics::silences);
    registerGauge(metrics, "connections_refused", PeerStatistics::refused);
    Gauge<Integer> members = () -> view.members().size();
    metrics.register("member.known", members);
  }

  private void registerGauge(
      MetricRegistry metrics, String name, ToLongFunction<PeerStatistics> count) {
    Gauge<Long> gauge = () -> count.applyAsLong(peers.statistics());
    metrics.register("peer." + name, gauge);
  }

  @Override
  public void start() {
    peers.start();
    ticker = Executors.newSingleThreadScheduledExecutor(FleetMember::newTickThread);
  }

  private static Thread newTickThread(Runnable task) {
    Thread thread = new Thread(task, "member");
    thread.setDaemon(true);
    return thread;
  }

  /** Joins the fleet; called once callers are served on {@code callerPort}. */
  public synchronized void join(int callerPort) {
    MemberLocation location =
        new MemberLocation(settings.dataCentre(), callerAddress(callerPort), peers.address());
    swim =
        Swim.of(
            settings.host(), location, MembershipSettings.DEFAULT, clock, random, this::sendGossip);
    view.join(swim);
    peers.handle(Channel.MEMBERSHIP, this::onGossip);
    HostRegistration registration = new HostRegistration(store, clock);
    HostListPoller hostListPoller =
        new HostListPoller(hostList, swim, listedLeaving, clock, random);
    Runnable tick = () -> tick(registration, hostListPoller);
    ticker.scheduleAtFixedRate(tick, 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private URI callerAddress(int callerPort) {
    URI configured = settings.callerAddress();
    return configured.getPort() == 0
        ? URI.create(configured.getScheme() + "://" + configured.getHost() + ":" + callerPort)
        : configured;
  }

  private void sendGossip(HostId to, GossipMessage message) {
    peers.send(to, Channel.MEMBERSHIP, GossipCodec.encode(message));
  }

  private void onGossip(HostId from, byte[] payload) {
    GossipCodec.decode(payload)
        .peek(m -> swim.onMessage(from, m))
        .peekLeft(m -> LOG.write(Event.PEER_MESSAGE_FAILED, Channel.MEMBERSHIP, from, m));
  }

  private void tick(HostRegistration registration, HostListPoller hostListPoller) {
    try {
      swim.tick();
      hostListPoller.tick();
      plannedStop.tick();
      registration.tick(swim.self());
      completeStop(registration);
    } catch (RuntimeException e) {
      LOG.write(Event.BROKEN_INVARIANT, e.toString());
    }
  }

  /** Completes the stop once this host's entry is deleted from the store, or after a timeout. */
  private void completeStop(HostRegistration registration) {
    if (plannedStop.phase() != PlannedStop.Phase.STOPPED) {
      return;
    }
    if (deregistrationDeadline == null) {
      deregistrationDeadline = Deadline.after(clock, DEREGISTRATION_TIMEOUT);
    }
    if (registration.isDeleted() || deregistrationDeadline.isPast(clock.instant())) {
      stopCompleted.countDown();
    }
  }

  /**
   * Performs the planned stop; returns once no request is in progress or the time limit is over.
   */
  public void leave() {
    if (swim == null) {
      return;
    }
    plannedStop.begin();
    try {
      stopCompleted.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public synchronized void stop() {
    if (ticker != null) {
      ticker.shutdownNow();
    }
    peers.stop();
  }
}

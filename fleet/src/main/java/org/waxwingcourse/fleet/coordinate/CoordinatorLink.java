package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.waxwingcourse.fleet.reach.ReachMonitor;
import org.waxwingcourse.fleet.relay.RelayHosts;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.fleet.view.ClockReading;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.StoreFollower;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.peer.PeerChannel;
import org.waxwingcourse.peer.PeerTransport;
import org.waxwingcourse.wire.fleet.BucketLevel;
import org.waxwingcourse.wire.fleet.CoordinatorLost;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.Ping;
import org.waxwingcourse.wire.fleet.Pong;

/**
 * Keeps a host attached to its coordinator. The host pings the first few candidates. Their pongs
 * show which of them are alive, prove that the configuration is current and carry the entries that
 * the host lacks, so that only the coordinator has to follow the store.
 */
public final class CoordinatorLink {
  private static final EventLog LOG = EventLog.of(CoordinatorLink.class);

  /**
   * Number of candidates that are always pinged; two of them may be lost at once without a search.
   */
  private static final int PINGED_CANDIDATES = 3;

  /**
   * Fleet size up to which a host pings on every tick. In a larger fleet the interval between
   * pings, and with it every limit on silence, grows in proportion, so that the cost of answering
   * pings stays the same for a coordinator. The first candidates ping on every tick in a fleet of
   * any size: they notice a lost coordinator first and report it to the others, which then probe
   * it.
   */
  private static final int MAX_HOSTS_AT_FULL_PING_RATE = 20;

  /**
   * Longest time without news of engines after which none can have come and gone unseen; shorter
   * than the lease of an engine's entry.
   */
  private static final Duration MAX_UNHEARD = Duration.ofSeconds(2);

  /** A host that has not answered for this long counts as lost; three pings and a margin. */
  private static final Duration PONG_TIMEOUT = Duration.ofMillis(450);

  /** A coordinator is left this long after it has lost contact to the store; one read interval. */
  private static final Duration CONTACT_LOSS_DELAY = Duration.ofMillis(800);

  /** A host that has not pinged for this long counts as detached. */
  private static final Duration ATTACHMENT_TIMEOUT = Duration.ofMillis(1100);

  /**
   * How long the coordinator may be without contact to the store before this host follows the store
   * too.
   */
  private static final Duration FOLLOW_DELAY = Duration.ofMillis(350);

  /** Hosts that start together discover each other within this time. */
  private static final Duration SETTLE_TIME = Duration.ofMillis(800);

  /**
   * A host that has just started pings all others if the first candidates have been silent for this
   * long. A first ping opens a connection, which costs a starting host more than anything else.
   */
  private static final Duration SEARCH_DELAY = Duration.ofMillis(200);

  /** A time later than any other, to which a short duration may still be added. */
  private static final Instant FAR_FUTURE = Instant.MAX.minus(Duration.ofDays(1));

  private final FleetHost self;
  private final PeerTransport peers;
  private final StoreView storeView;
  private final Clocks clocks;
  private final StoreFollower follower;
  private final Coordinator coordinator;
  private final SlotClient slots;
  private final Map<HostId, AttachedHost> attachedHosts = new HashMap<>();
  private final Map<OrganisationId, Long> reportedLevels = new HashMap<>();
  private final Candidates candidates;
  private final ViewExchange views;
  private final QuarantineExchange quarantine;
  private final CrashingRequestExchange crashingRequests;
  private final EngineStatementExchange statements;
  private final StreamExchange streams;
  private volatile Option<ReachExchange> reachExchange = Option.none();
  private final CollectedHosts collectedHosts = new CollectedHosts();
  private HostId coordinatorId;
  private Instant firstTickAt;
  private long tickCount;
  private boolean restartNoticed;
  private volatile int ownPingTicks = 1;
  private Instant coordinatorSince = Instant.MAX;
  private Instant lastContactAt;
  private ClockReading heardAt;
  private Instant contactLostAt = FAR_FUTURE;
  private Instant levelsReportedAt = Instant.MIN;

  /**
   * Creates the link of {@code self}, which is not attached to a coordinator yet.
   *
   * @param ownStreams the software that began the streams of this host's answers
   * @param ownRegistration supplies the revision at which this process registered, none before
   */
  public CoordinatorLink(
      FleetHost self,
      PeerTransport peers,
      StoreView storeView,
      EngineDirectory engines,
      Clocks clocks,
      StoreFollower follower,
      Coordinator coordinator,
      SlotClient slots,
      StreamOrigins ownStreams,
      Supplier<Revision> ownRegistration) {
    this.self = self;
    this.peers = peers;
    this.storeView = storeView;
    this.clocks = clocks;
    this.candidates = new Candidates(self.id(), storeView, ownRegistration);
    this.views = new ViewExchange(storeView, clocks);
    this.follower = follower;
    this.coordinator = coordinator;
    this.quarantine = new QuarantineExchange(coordinator.quarantine(), clocks);
    this.crashingRequests =
        new CrashingRequestExchange(self.boot(), coordinator.crashingRequests(), clocks);
    this.streams = new StreamExchange(self.boot(), ownStreams, coordinator.streams());
    this.statements = new EngineStatementExchange(self.boot(), engines);
    this.slots = slots;
    coordinator.softwareHistory().setCurrent(this::knowsEngines);
    this.lastContactAt = clocks.instant();
    this.heardAt = clocks.now();
  }

  /**
   * Tells other hosts whether this host reaches engines, and fills {@code relayHosts} with hosts
   * that do while this host does not. Called before the first ping.
   *
   * @param acceptsRelays whether this host sends requests for others now
   */
  public void exchangeReach(
      ReachMonitor reach, RelayHosts relayHosts, BooleanSupplier acceptsRelays) {
    reachExchange =
        Option.some(new ReachExchange(self.id(), coordinator, reach, relayHosts, acceptsRelays));
  }

  /** Returns whether the engines known here are those that the store lists. */
  private boolean knowsEngines() {
    return candidates.isInContact(self.id()) && follower.isEngineListCurrent();
  }

  /**
   * Records that this host learns of engines, from the store or from a host that does. Engines that
   * came and went while it did neither may have begun streams at other hosts.
   */
  private void recordHeard() {
    ClockReading now = clocks.now();
    synchronized (this) {
      if (now.elapsedSince(heardAt).compareTo(MAX_UNHEARD) > 0) {
        coordinator.softwareHistory().restart(now.steady());
      }
      heardAt = now;
    }
  }

  /** An attached host and the time of its last ping. */
  private record AttachedHost(Instant pingedAt, boolean takesCallers) {}

  /**
   * Chooses the coordinator, sends pings and removes hosts that have detached. Called at a fixed
   * interval.
   */
  public void updateAttachment() {
    Instant now = clocks.instant();
    if (knowsEngines()) {
      recordHeard();
    }
    if (follower.isFollowing() && candidates.isInContact(self.id())) {
      collectedHosts.recordCurrentList(now);
    }
    recordFirstTick(now);
    List<HostId> order = candidates.order();
    ownPingTicks = pingIntervalTicks(order);
    HostId newCoordinator;
    List<HostId> detachedHosts;
    synchronized (this) {
      newCoordinator = chooseAmong(order, now);
      detachedHosts = removeDetached(now);
    }
    detachedHosts.forEach(this::onDetached);
    if (!newCoordinator.equals(coordinatorId) && mayChoose(newCoordinator, order, now)) {
      changeCoordinator(newCoordinator, now);
    }
    slots.resendLostMessages();
    tickCount++;
    if (coordinatorId == null || tickCount % ownPingTicks == 0) {
      ping(order, now);
    }
    updateFollowing(now);
    updateOwnReach();
    coordinator.setFleetShare(fleetShare());
  }

  private void updateOwnReach() {
    if (isCoordinator()) {
      reachExchange.forEach(r -> r.updateOwn(this::collected));
    }
  }

  private synchronized boolean isCoordinator() {
    return self.id().equals(coordinatorId);
  }

  /**
   * Chooses the coordinator of a host that has just started as soon as the others have had time to
   * answer, without waiting for the next tick.
   */
  public void attachEarly() {
    if (mayChooseEarly()) {
      updateAttachment();
    }
  }

  /** Returns whether a coordinator has been chosen since this process started. */
  public synchronized boolean hasChosen() {
    return coordinatorId != null;
  }

  private synchronized boolean mayChooseEarly() {
    Instant now = clocks.instant();
    if (coordinatorId != null || !candidates.haveAnswered(now)) {
      return false;
    }
    List<HostId> order = candidates.order();
    return !candidates.isJoining(chooseAmong(order, now), order, now, answerTimeout());
  }

  /** Tells the coordinator at once what engines have said of themselves. */
  public void reportStatements() {
    pingCoordinator();
  }

  /** Tells the coordinator at once whether this host reaches engines. */
  public void reportReach() {
    updateOwnReach();
    pingCoordinator();
  }

  private void pingCoordinator() {
    HostId receiver;
    synchronized (this) {
      receiver = coordinatorId;
    }
    if (receiver != null && !receiver.equals(self.id())) {
      ping(receiver, false);
    }
  }

  /** Returns the hosts that callers may be sent to. */
  public List<FleetHost> callerHosts() {
    Instant now = clocks.instant();
    if (isCollecting(now)) {
      collectedHosts.record(collected(), now);
    }
    List<FleetHost> listed = storeView.fleetHosts().callerHosts();
    List<FleetHost> running =
        listed.stream()
            .filter(h -> h.id().equals(self.id()) || collectedHosts.mayBeNamed(h.id(), now))
            .toList();
    return running.isEmpty() ? listed : running;
  }

  /**
   * Returns whether this host coordinates and knows better than the store which hosts run, as it
   * has started recently, or as the store is out of reach or recovers.
   */
  private synchronized boolean isCollecting(Instant now) {
    return self.id().equals(coordinatorId)
        && !attachedHosts.isEmpty()
        && (now.isBefore(firstTickAt.plus(CollectedHosts.COLLECTION_TIME))
            || !candidates.isInContact(self.id())
            || storeView.contact().isRecovering());
  }

  private synchronized List<HostId> collected() {
    Instant oldest = clocks.instant().minus(CollectedHosts.MAX_PING_AGE);
    List<HostId> hosts = new ArrayList<>();
    attachedHosts.forEach(
        (host, attachment) -> {
          if (!attachment.pingedAt.isBefore(oldest)) {
            hosts.add(host);
          }
        });
    hosts.add(self.id());
    return hosts;
  }

  /** Returns whether slots can be requested: a coordinator that reads the store has been chosen. */
  public synchronized boolean isAttached() {
    return coordinatorId != null && candidates.isInContact(coordinatorId);
  }

  /** Returns whether this host has been the coordinator for long enough to act for the fleet. */
  public synchronized boolean isSettledCoordinator() {
    return self.id().equals(coordinatorId)
        && candidates.isInContact(coordinatorId)
        && clocks.instant().isAfter(coordinatorSince.plus(SETTLE_TIME));
  }

  void onPing(HostId from, Ping ping) {
    quarantine.apply(from, ping);
    crashingRequests.apply(from, ping);
    streams.apply(ping, clocks.instant());
    statements.apply(from, ping);
    reachExchange.forEach(r -> r.apply(from, ping));
    if (ping.getAttached()) {
      AttachedHost attachedHost = new AttachedHost(clocks.instant(), ping.getTakesCallers());
      boolean isNew;
      synchronized (this) {
        isNew = attachedHosts.put(from, attachedHost) == null;
      }
      if (isNew) {
        coordinator.setFleetShare(fleetShare());
      }
    }
    Pong.Builder pong =
        Pong.newBuilder()
            .setSentNanos(ping.getSentNanos())
            .setSentMillis(ping.getSentMillis())
            .setBoot(self.boot())
            .setRegistered(candidates.ownRegistration().value())
            .setInContact(candidates.isInContact(self.id()));
    statements.addTo(pong, from);
    views.addTo(pong, ping);
    quarantine.addTo(pong, ping);
    crashingRequests.addTo(pong, from);
    streams.addTo(pong, ping);
    reachExchange.forEach(r -> r.addTo(pong, ping, this::collected));
    if (ping.getAttached()) {
      if (isCollecting(clocks.instant())) {
        collected().forEach(h -> pong.addAttached(h.value()));
      }
      coordinator
          .rateLevels()
          .forEach(
              (id, amount) ->
                  pong.addBuckets(
                      BucketLevel.newBuilder().setOrganisation(id.value()).setAmount(amount)));
    }
    send(from, FleetMessage.newBuilder().setPong(pong));
  }

  void onPong(HostId from, Pong pong) {
    Instant now = clocks.instant();
    recordHeard();
    statements.apply(from, pong);
    candidates.recordPong(from, pong, now);
    quarantine.apply(from, pong);
    crashingRequests.apply(from, pong);
    streams.apply(from, pong);
    synchronized (this) {
      if (from.equals(coordinatorId)) {
        reachExchange.forEach(r -> r.apply(pong));
        if (pong.getInContact()) {
          collectedHosts.recordCurrentList(now);
        }
        collectedHosts.record(pong.getAttachedList().stream().map(HostId::of).toList(), now);
      }
      if (from.equals(coordinatorId) && pong.getBucketsCount() > 0) {
        reportedLevels.clear();
        pong.getBucketsList()
            .forEach(
                b -> reportedLevels.put(OrganisationId.of(b.getOrganisation()), b.getAmount()));
        levelsReportedAt = now;
      }
    }
    if (views.apply(pong, now)) {
      ping(from, true);
    }
    if (noticesRestart(from)) {
      storeView.fleetHosts().othersThan(self.id()).forEach(h -> ping(h, false));
    }
  }

  /**
   * Returns whether a host without a coordinator hears for the first time from a process that the
   * store does not list yet. Then others have started with it, and the order of candidates has to
   * be found out from all of them.
   */
  private synchronized boolean noticesRestart(HostId from) {
    if (coordinatorId != null || restartNoticed || candidates.isListed(from)) {
      return false;
    }
    restartNoticed = true;
    return true;
  }

  /**
   * Returns whether this host may choose a coordinator. A host that has just started waits for the
   * pongs of the others first; otherwise it would coordinate for a moment with empty token buckets
   * and refuse requests that the fleet has room for.
   */
  private synchronized boolean mayChoose(HostId chosen, List<HostId> order, Instant now) {
    Duration patience = PONG_TIMEOUT.multipliedBy(pingIntervalTicks());
    return coordinatorId != null
        || order.size() == 1
        || now.isAfter(firstTickAt.plus(patience))
        || candidates.hasPong() && !candidates.isJoining(chosen, order, now, answerTimeout());
  }

  private boolean isAnswering(HostId host, Instant now) {
    return candidates.isAnswering(host, now, answerTimeout());
  }

  /** Returns the time for which a host may be silent. */
  private Duration answerTimeout() {
    return PONG_TIMEOUT.multipliedBy(ownPingTicks);
  }

  private HostId chooseAmong(List<HostId> order, Instant now) {
    return CoordinatorChoice.choose(
        order, self.id(), h -> isAnswering(h, now), h -> countsAsInContact(h, now));
  }

  private synchronized void recordFirstTick(Instant now) {
    if (firstTickAt == null) {
      firstTickAt = now;
      lastContactAt = now;
    }
  }

  private int pingIntervalTicks(List<HostId> order) {
    return firstOf(order).contains(self.id()) ? 1 : pingIntervalTicks();
  }

  private static List<HostId> firstOf(List<HostId> order) {
    return order.subList(0, Math.min(PINGED_CANDIDATES, order.size()));
  }

  private int pingIntervalTicks() {
    return 1 + storeView.fleetHosts().inRegistrationOrder().size() / MAX_HOSTS_AT_FULL_PING_RATE;
  }

  /**
   * Returns whether a host may coordinate. The present coordinator still may for a while after it
   * has lost contact: as the store goes down for all hosts, their last reads differ by up to one
   * interval, and without this delay each would leave the coordinator for itself.
   */
  private boolean countsAsInContact(HostId host, Instant now) {
    boolean inContact = candidates.isInContact(host);
    if (host.equals(coordinatorId)) {
      if (inContact) {
        contactLostAt = FAR_FUTURE;
      } else if (contactLostAt.equals(FAR_FUTURE)) {
        contactLostAt = now;
      }
      return now.isBefore(contactLostAt.plus(CONTACT_LOSS_DELAY));
    }
    return inContact;
  }

  private void changeCoordinator(HostId newCoordinator, Instant now) {
    HostId previous;
    synchronized (this) {
      previous = coordinatorId;
      coordinatorId = newCoordinator;
      coordinatorSince = now;
      contactLostAt = FAR_FUTURE;
      lastContactAt = now;
      if (newCoordinator.equals(self.id())
          && now.isBefore(levelsReportedAt.plus(ATTACHMENT_TIMEOUT))) {
        coordinator.restoreRateLevels(reportedLevels);
      }
    }
    LOG.write(
        Event.COORDINATOR_CHOSEN,
        newCoordinator,
        previous,
        storeView.hostTable().revision().value());
    if (!newCoordinator.equals(self.id())) {
      ping(newCoordinator, true);
    } else if (previous != null && !isAnswering(previous, now)) {
      reportLost(previous);
    }
    if (self.id().equals(previous)) {
      // It sends itself no pings, whose absence would show that it has left.
      coordinator.removeHost(self.id());
    }
    slots.attachTo(newCoordinator);
  }

  private void reportLost(HostId lost) {
    CoordinatorLost.Builder message = CoordinatorLost.newBuilder().setHost(lost.value());
    storeView.fleetHosts().othersThan(self.id()).stream()
        .filter(h -> !h.equals(lost))
        .forEach(h -> send(h, FleetMessage.newBuilder().setCoordinatorLost(message)));
  }

  /**
   * Probes a coordinator that its successor has reported lost; it may be cut off from that only.
   */
  void onCoordinatorLost(HostId from, CoordinatorLost message) {
    HostId reported = HostId.of(message.getHost());
    synchronized (this) {
      if (!reported.equals(coordinatorId) || !candidates.recordProbe(reported, clocks.instant())) {
        return;
      }
    }
    LOG.write(Event.COORDINATOR_SUSPECTED, reported, from);
    ping(reported, false);
    ping(from, false);
  }

  private void ping(List<HostId> order, Instant now) {
    Set<HostId> receivers = new HashSet<>(firstOf(order));
    if (coordinatorId != null) {
      receivers.add(coordinatorId);
    }
    boolean allSilent = receivers.stream().noneMatch(h -> isAnswering(h, now));
    if (allSilent && now.isAfter(firstTickAt.plus(SEARCH_DELAY))) {
      storeView.fleetHosts().inRegistrationOrder().forEach(h -> receivers.add(h.id()));
    }
    receivers.remove(self.id());
    if (coordinatorSince.equals(now)) {
      // It was pinged as it was chosen; a second ping would bring the views twice.
      receivers.remove(coordinatorId);
    }
    receivers.forEach(h -> ping(h, h.equals(coordinatorId)));
  }

  /**
   * Sends a ping. Only one host at a time is asked for the views that this host lacks: if each of
   * many starting hosts received them from all others, the network and the processors would be busy
   * with nothing else.
   */
  private void ping(HostId host, boolean asksForViews) {
    Ping.Builder ping =
        Ping.newBuilder()
            .setBoot(self.boot())
            .setAttached(host.equals(coordinatorId))
            .setTakesCallers(self.takesCallers());
    statements.addTo(ping, host);
    reachExchange.forEach(r -> r.addTo(ping));
    views.addTo(ping, asksForViews);
    quarantine.addTo(ping, host);
    crashingRequests.addTo(ping, host);
    streams.addTo(ping, host, clocks.instant());
    send(host, FleetMessage.newBuilder().setPing(ping));
  }

  /**
   * Follows the store if other hosts depend on this one or the coordinator is without contact to
   * it. A host that starts first waits for a coordinator, which sends it the content of the store.
   */
  private void updateFollowing(Instant now) {
    boolean servesHosts;
    boolean withoutContact;
    synchronized (this) {
      boolean coordinates = self.id().equals(coordinatorId);
      if (coordinatorId != null && !coordinates && candidates.isInContact(coordinatorId)) {
        lastContactAt = now;
      }
      servesHosts = coordinates || !attachedHosts.isEmpty();
      withoutContact = now.isAfter(lastContactAt.plus(FOLLOW_DELAY));
    }
    follower.setFollowing(servesHosts || withoutContact);
  }

  private List<HostId> removeDetached(Instant now) {
    List<HostId> detachedHosts =
        attachedHosts.entrySet().stream()
            .filter(
                e ->
                    now.isAfter(
                        e.getValue()
                            .pingedAt
                            .plus(ATTACHMENT_TIMEOUT.multipliedBy(pingIntervalTicks()))))
            .map(Map.Entry::getKey)
            .toList();
    detachedHosts.forEach(attachedHosts::remove);
    return detachedHosts;
  }

  private void onDetached(HostId host) {
    LOG.write(
        Event.HOST_DETACHED, host, ATTACHMENT_TIMEOUT.multipliedBy(pingIntervalTicks()).toMillis());
    coordinator.removeHost(host);
    reachExchange.forEach(r -> r.removeHost(host));
  }

  /** Returns the share of the hosts serving callers that is attached here. */
  private synchronized double fleetShare() {
    int all = storeView.fleetHosts().callerHosts().size();
    long attachedHere = attachedHosts.values().stream().filter(AttachedHost::takesCallers).count();
    if (self.id().equals(coordinatorId) && self.takesCallers()) {
      attachedHere++;
    }
    return all == 0 ? 1 : Math.min(1, (double) attachedHere / all);
  }

  private void send(HostId to, FleetMessage.Builder message) {
    peers.send(to, PeerChannel.FLEET, message.build().toByteArray());
  }
}

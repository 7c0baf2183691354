package org.waxwingcourse.policy.member;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.member.MembershipView;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.hosts.PlannedStop;
import org.waxwingcourse.policy.member.GossipMessage.Ack;
import org.waxwingcourse.policy.member.GossipMessage.IndirectProbe;
import org.waxwingcourse.policy.member.GossipMessage.Probe;
import org.waxwingcourse.policy.member.GossipMessage.Rumours;
import org.waxwingcourse.policy.member.GossipMessage.SyncAnswer;
import org.waxwingcourse.policy.member.GossipMessage.SyncRequest;

/**
 * Membership protocol based on SWIM (Das, Gupta and Motivala, 2002): in each interval a host probes
 * one random member, directly and then through other members. A member that does not acknowledge is
 * suspected, and it is declared dead unless it refutes the suspicion with a higher incarnation in
 * time. Updates are piggybacked on the probes and, while there are any, also sent in separate
 * rounds. The cost per host does not grow with the fleet, unlike that of all-to-all heartbeats.
 *
 * <p>Differences from the paper: incarnations start from the clock, so that a restarted host has a
 * higher incarnation than before its restart; after a pause, a process restarts its timers and
 * suspects no member; digests are compared periodically (anti-entropy); dead hosts are contacted
 * periodically. The platform's list only provides hosts to contact and does not show that they are
 * alive. No decision that requires agreement between hosts depends on this view.
 *
 * <p>One lock guards the tables; messages are sent and listeners are called after its release.
 */
public final class Swim implements MembershipView, PlannedStop.Departure {
  private static final EventLog LOG = EventLog.of(Swim.class);

  private final MembershipSettings settings;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final GossipPort port;
  private final MemberTable table;
  private final RumourQueue rumours = new RumourQueue();
  private final Outbox outbox;
  private final FailureDetector detector;
  private final AntiEntropy antiEntropy;
  private final ViewPublisher viewPublisher;
  private final Set<HostId> informedThisTick = new HashSet<>();
  private LeaveAnnouncement leaveAnnouncement;
  private Deadline nextGossip;
  private Instant lastTick;

  private Swim(
      Member self,
      MembershipSettings settings,
      InstantSource clock,
      RandomGenerator random,
      GossipPort port) {
    Instant now = clock.instant();
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.port = port;
    this.table = new MemberTable(self, settings);
    this.outbox = new Outbox(table, rumours, settings);
    this.detector = new FailureDetector(table, outbox, settings, random, now);
    this.antiEntropy = new AntiEntropy(table, outbox, settings, random, now);
    this.viewPublisher = new ViewPublisher(table);
    this.nextGossip = Deadline.at(now);
    this.lastTick = now;
    rumours.add(MemberUpdate.full(self));
  }

  /**
   * Returns the membership of a host that starts now. Its incarnation is the current time of the
   * clock in milliseconds since the epoch.
   */
  public static Swim of(
      HostId host,
      MemberLocation location,
      MembershipSettings settings,
      InstantSource clock,
      RandomGenerator random,
      GossipPort port) {
    long incarnation = clock.instant().toEpochMilli();
    MemberUpdate selfUpdate =
        new MemberUpdate(host, incarnation, MemberState.ALIVE, Option.some(location));
    return new Swim(selfUpdate.member(location), settings, clock, random, port);
  }

  /**
   * Performs the actions that are due and publishes the changes since the last call. Must be called
   * several times per probe interval.
   */
  public void tick() {
    runLocked(this::runDueActions);
    publish();
  }

  private void runDueActions(Instant now) {
    informedThisTick.clear();
    detectPause(now);
    detector.tick(now).forEach(h -> suspect(h, now));
    for (Member m : table.expireSuspicions(now)) {
      rumours.add(MemberUpdate.compact(m));
    }
    table.removeDead(now);
    antiEntropy.tick(now);
    if (leaveAnnouncement != null) {
      leaveAnnouncement.tick(now);
    }
    if (!rumours.isEmpty() && nextGossip.isPast(now)) {
      nextGossip = Deadline.at(now.plus(settings.gossipInterval()));
      sendRumours();
    }
  }

  private void detectPause(Instant now) {
    Duration gap = Duration.between(lastTick, now);
    lastTick = now;
    if (gap.compareTo(settings.pauseThreshold()) > 0) {
      LOG.write(Event.MEMBER_PAUSED, gap.toMillis());
      table.restartSuspicions(now);
      detector.onPause(now);
      antiEntropy.syncAtNextTick(now);
    }
  }

  private void suspect(HostId host, Instant now) {
    if (table.suspect(host, now)) {
      table
          .find(host)
          .filter(Outbox::isSuspectOrDead)
          .map(MemberUpdate::compact)
          .ifPresent(rumours::add);
      outbox.add(host, Rumours::new);
    }
  }

  private void sendRumours() {
    List<Member> others = table.others(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING);
    for (Member m : Sample.of(others, settings.gossipFanout(), random)) {
      outbox.add(m.id(), Rumours::new);
    }
  }

  /** Handles a message from another host. */
  public void onMessage(HostId from, GossipMessage message) {
    runLocked(now -> handle(from, message, now));
  }

  private void handle(HostId from, GossipMessage message, Instant now) {
    message.updates().forEach(u -> applyUpdate(from, u, now));
    table.onMessageFrom(from);
    boolean replied = true;
    if (message instanceof Probe probe) {
      outbox.add(from, u -> new Ack(probe.sequence(), u));
    } else if (message instanceof SyncRequest request) {
      antiEntropy.onRequest(from, request);
    } else if (message instanceof IndirectProbe request) {
      detector.relayProbe(from, request, now);
    } else {
      replied = false;
      handleResponse(from, message);
    }
    boolean senderMayRefute = table.find(from).filter(Outbox::isSuspectOrDead).isPresent();
    if (!replied && senderMayRefute && informedThisTick.add(from)) {
      outbox.add(from, Rumours::new);
    }
  }

  private void handleResponse(HostId from, GossipMessage message) {
    if (message instanceof Ack ack) {
      detector.onAck(ack.sequence());
      if (leaveAnnouncement != null) {
        leaveAnnouncement.onAck(from, ack.sequence());
      }
    } else if (message instanceof SyncAnswer answer) {
      antiEntropy.onAnswer(from, answer);
    }
  }

  private void applyUpdate(HostId from, MemberUpdate update, Instant now) {
    if (update.host().equals(table.self().id())) {
      refute(update);
      return;
    }
    switch (table.apply(update, now)) {
      case APPLIED -> table.find(update.host()).map(this::toUpdate).ifPresent(rumours::add);
      case DISPUTED -> {
        if (!from.equals(update.host())) {
          antiEntropy.markDisputed(update.host());
        }
      }
      default -> {}
    }
  }

  private MemberUpdate toUpdate(Member member) {
    return Outbox.isSuspectOrDead(member)
        ? MemberUpdate.compact(member)
        : MemberUpdate.full(member);
  }

  private void refute(MemberUpdate update) {
    Member self = table.self();
    boolean newer = update.incarnation() > self.incarnation();
    boolean overridesSelf =
        update.incarnation() == self.incarnation() && update.state().compareTo(self.state()) > 0;
    if (!newer && !overridesSelf) {
      return;
    }
    updateSelf(update.incarnation() + 1, self.state());
    LOG.write(Event.MEMBER_REFUTED, update.state(), table.self().incarnation());
  }

  private void updateSelf(long incarnation, MemberState state) {
    Member self = table.self();
    MemberLocation location = MemberLocation.of(self);
    MemberUpdate selfUpdate =
        new MemberUpdate(self.id(), incarnation, state, Option.some(location));
    table.setSelf(selfUpdate.member(location));
    rumours.add(selfUpdate);
  }

  /**
   * Replaces the hosts of the platform's list; those that are not members are contacted
   * periodically.
   */
  public void seed(Collection<Seed> listed) {
    runLocked(now -> antiEntropy.setSeeds(listed));
  }

  @Override
  public void leave() {
    runLocked(
        now -> {
          if (leaveAnnouncement == null) {
            updateSelf(table.self().incarnation() + 1, MemberState.LEAVING);
            leaveAnnouncement = new LeaveAnnouncement(table, outbox, detector.nextSequence(), now);
            leaveAnnouncement.tick(now);
          }
        });
    publish();
  }

  @Override
  public synchronized boolean leaveKnown() {
    return leaveAnnouncement != null && leaveAnnouncement.isComplete();
  }

  @Override
  public synchronized boolean othersServe() {
    return !table.others(MemberState.ALIVE, MemberState.SUSPECT).isEmpty();
  }

  @Override
  public void left() {
    runLocked(
        now -> {
          updateSelf(table.self().incarnation(), MemberState.DEAD);
          sendRumours();
        });
    publish();
  }

  /**
   * Returns the address at which other hosts reach a host, from the membership or else from the
   * platform's list.
   */
  public synchronized Optional<InetSocketAddress> peerAddress(HostId host) {
    return table
        .find(host)
        .map(Member::peerAddress)
        .or(() -> antiEntropy.findSeed(host).map(Seed::peerAddress));
  }

  @Override
  public Member self() {
    return viewPublisher.current().self();
  }

  @Override
  public List<Member> members() {
    return viewPublisher.current().members();
  }

  @Override
  public Optional<Member> find(HostId host) {
    return viewPublisher.current().find(host);
  }

  @Override
  public void onChange(Consumer<List<Member>> listener) {
    viewPublisher.addListener(listener);
  }

  private void runLocked(Consumer<Instant> action) {
    List<Outbox.Outgoing> messages;
    synchronized (this) {
      action.accept(clock.instant());
      messages = outbox.drain();
    }
    messages.forEach(m -> port.send(m.to(), m.message()));
  }

  private void publish() {
    synchronized (this) {
      viewPublisher.refresh();
    }
    viewPublisher.notifyListeners();
  }
}

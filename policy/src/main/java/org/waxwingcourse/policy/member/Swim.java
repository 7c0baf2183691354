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
 * Membership after SWIM (Das, Gupta and Motivala, 2002): each host probes one random other an
 * interval, directly and then through others; who does not answer is suspected, and dead unless it
 * refutes with a higher incarnation in time; news travels on the probes themselves and, while there
 * are any, in extra rounds. The cost of a host does not grow with the fleet, unlike heartbeats from
 * all to all.
 *
 * <p>Beyond the paper: incarnations start from the clock, so a restarted host outbids its former
 * life; a host that stood still restarts its timers and accuses nobody; digests are compared now
 * and then (anti-entropy); dead hosts are tried now and then. The platform's list only names hosts
 * to try and is no evidence of life. What must be agreed never rests on this view.
 *
 * <p>One lock guards the tables; messages and listeners are called after it is released.
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
  private final Synchronisation sync;
  private final ViewPublisher views;
  private final Set<HostId> told = new HashSet<>();
  private Announcement announcement;
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
    this.sync = new Synchronisation(table, outbox, settings, random, now);
    this.views = new ViewPublisher(table);
    this.nextGossip = Deadline.at(now);
    this.lastTick = now;
    rumours.add(MemberUpdate.full(self));
  }

  /** Returns the membership of a host that starts now; its incarnation is the clock's reading. */
  public static Swim of(
      HostId host,
      MemberLocation location,
      MembershipSettings settings,
      InstantSource clock,
      RandomGenerator random,
      GossipPort port) {
    long incarnation = clock.instant().toEpochMilli();
    MemberUpdate word =
        new MemberUpdate(host, incarnation, MemberState.ALIVE, Option.some(location));
    return new Swim(word.member(location), settings, clock, random, port);
  }

  /**
   * Takes the steps that are due and publishes what has changed since the last call. To be called
   * several times a probe interval.
   */
  public void tick() {
    act(this::step);
    publish();
  }

  private void step(Instant now) {
    told.clear();
    notePause(now);
    detector.tick(now).forEach(h -> suspect(h, now));
    for (Member m : table.expire(now)) {
      rumours.add(MemberUpdate.compact(m));
    }
    table.forget(now);
    sync.tick(now);
    if (announcement != null) {
      announcement.tick(now);
    }
    if (!rumours.isEmpty() && nextGossip.isPast(now)) {
      nextGossip = Deadline.at(now.plus(settings.gossipInterval()));
      spreadRumours();
    }
  }

  private void notePause(Instant now) {
    Duration gap = Duration.between(lastTick, now);
    lastTick = now;
    if (gap.compareTo(settings.pauseLimit()) > 0) {
      LOG.write(Event.MEMBER_PAUSED, gap.toMillis());
      table.restartSuspicions(now);
      detector.paused(now);
      sync.hasten(now);
    }
  }

  private void suspect(HostId host, Instant now) {
    if (table.suspect(host, now)) {
      table.find(host).filter(Outbox::inDoubt).map(MemberUpdate::compact).ifPresent(rumours::add);
      outbox.add(host, Rumours::new);
    }
  }

  private void spreadRumours() {
    List<Member> others = table.others(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING);
    for (Member m : Sample.of(others, settings.gossipFanout(), random)) {
      outbox.add(m.id(), Rumours::new);
    }
  }

  /** Takes a message of another host. */
  public void onMessage(HostId from, GossipMessage message) {
    act(now -> receive(from, message, now));
  }

  private void receive(HostId from, GossipMessage message, Instant now) {
    message.updates().forEach(u -> apply(from, u, now));
    table.heard(from);
    boolean answered = true;
    if (message instanceof Probe probe) {
      outbox.add(from, u -> new Ack(probe.sequence(), u));
    } else if (message instanceof SyncRequest request) {
      sync.onRequest(from, request);
    } else if (message instanceof IndirectProbe request) {
      detector.relay(from, request, now);
    } else {
      answered = false;
      take(from, message);
    }
    boolean inDoubt = table.find(from).filter(Outbox::inDoubt).isPresent();
    if (!answered && inDoubt && told.add(from)) {
      outbox.add(from, Rumours::new);
    }
  }

  private void take(HostId from, GossipMessage message) {
    if (message instanceof Ack ack) {
      detector.acknowledged(ack.sequence());
      if (announcement != null) {
        announcement.acknowledged(from, ack.sequence());
      }
    } else if (message instanceof SyncAnswer answer) {
      sync.onAnswer(from, answer);
    }
  }

  private void apply(HostId from, MemberUpdate update, Instant now) {
    if (update.host().equals(table.self().id())) {
      refute(update);
      return;
    }
    switch (table.apply(update, now)) {
      case APPLIED -> table.find(update.host()).map(this::news).ifPresent(rumours::add);
      case DISPUTED -> {
        if (!from.equals(update.host())) {
          sync.dispute(update.host());
        }
      }
      default -> {}
    }
  }

  private MemberUpdate news(Member member) {
    return Outbox.inDoubt(member) ? MemberUpdate.compact(member) : MemberUpdate.full(member);
  }

  private void refute(MemberUpdate update) {
    Member self = table.self();
    boolean newer = update.incarnation() > self.incarnation();
    boolean worse =
        update.incarnation() == self.incarnation() && update.state().compareTo(self.state()) > 0;
    if (!newer && !worse) {
      return;
    }
    become(update.incarnation() + 1, self.state());
    LOG.write(Event.MEMBER_REFUTED, update.state(), table.self().incarnation());
  }

  private void become(long incarnation, MemberState state) {
    Member self = table.self();
    MemberLocation location = MemberLocation.of(self);
    MemberUpdate word = new MemberUpdate(self.id(), incarnation, state, Option.some(location));
    table.setSelf(word.member(location));
    rumours.add(word);
  }

  /** Names the hosts of the platform's list; those that are not known are tried. */
  public void seed(Collection<Seed> listed) {
    act(now -> sync.seed(listed));
  }

  @Override
  public void leave() {
    act(
        now -> {
          if (announcement == null) {
            become(table.self().incarnation() + 1, MemberState.LEAVING);
            announcement = new Announcement(table, outbox, detector.nextSequence(), now);
            announcement.tick(now);
          }
        });
    publish();
  }

  @Override
  public synchronized boolean leaveKnown() {
    return announcement != null && announcement.complete();
  }

  @Override
  public synchronized boolean othersServe() {
    return !table.others(MemberState.ALIVE, MemberState.SUSPECT).isEmpty();
  }

  @Override
  public void left() {
    act(
        now -> {
          become(table.self().incarnation(), MemberState.DEAD);
          spreadRumours();
        });
    publish();
  }

  /** Returns where other hosts reach a host, by its own word or by the platform's list. */
  public synchronized Optional<InetSocketAddress> peerAddress(HostId host) {
    return table
        .find(host)
        .map(Member::peerAddress)
        .or(() -> sync.seed(host).map(Seed::peerAddress));
  }

  @Override
  public Member self() {
    return views.current().self();
  }

  @Override
  public List<Member> members() {
    return views.current().members();
  }

  @Override
  public Optional<Member> find(HostId host) {
    return views.current().find(host);
  }

  @Override
  public void onChange(Consumer<List<Member>> listener) {
    views.add(listener);
  }

  private void act(Consumer<Instant> step) {
    List<Outbox.Outgoing> messages;
    synchronized (this) {
      step.accept(clock.instant());
      messages = outbox.take();
    }
    messages.forEach(m -> port.send(m.to(), m.message()));
  }

  private void publish() {
    synchronized (this) {
      views.refresh();
    }
    views.deliver();
  }
}
